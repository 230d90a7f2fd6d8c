package yuccaflow.http

/** An IP address and TCP port. */
data class SocketAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = if (host.contains(':')) "[$host]:$port" else "$host:$port"

    companion object {
        /** Parses `IP:PORT` or `[IPv6]:PORT`. Returns null unless the host is an IP address and the port is in 0..65535. */
        fun parseOrNull(text: String): SocketAddress? = parseSocketAddress(text)
    }
}

private const val MAX_PORT = 65_535

private fun parseSocketAddress(text: String): SocketAddress? {
    val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    if (port !in 0..MAX_PORT ||
        !io.netty.util.NetUtil
            .isValidIpV4Address(host) &&
        !io.netty.util.NetUtil
            .isValidIpV6Address(host)
    ) {
        return null
    }
    return SocketAddress(host, port)
}
