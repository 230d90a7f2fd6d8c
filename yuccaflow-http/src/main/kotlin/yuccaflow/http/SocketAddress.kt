package yuccaflow.http

import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress

/**
 * An IP address and TCP port, which can be connected to without a name lookup.
 *
 * @property host an IPv4 or IPv6 address without a zone such as `%eth0`, which names an interface of one machine only.
 * @throws IllegalArgumentException if [host] is not such an address, or [port] is not in 0..65535.
 */
data class SocketAddress(
    val host: String,
    val port: Int,
) {
    init {
        require(ipBytesOrNull(host) != null) { "expected an IP address without a zone, found '$host'" }
        require(port in 0..MAX_PORT) { "expected a port from 0 to $MAX_PORT, found $port" }
    }

    /** Whether the host can be that of a single server, and is not the unspecified address, a multicast group or the broadcast address. */
    val isUnicast: Boolean get() = toInet().address.let { !it.isAnyLocalAddress && !it.isMulticastAddress } && host != LIMITED_BROADCAST

    override fun toString(): String = if (host.contains(':')) "[$host]:$port" else "$host:$port"

    /** Converts to the type that Netty uses. */
    internal fun toInet(): InetSocketAddress = InetSocketAddress(InetAddress.getByAddress(ipBytesOrNull(host)), port)

    companion object {
        private const val MAX_PORT = 65_535

        /**
         * Parses `IPv4:PORT` or `[IPv6]:PORT`, with the port in decimal digits. Returns null for any other text. The host is brought into
         * canonical form, so that two spellings of an address are equal.
         */
        fun parseOrNull(text: String): SocketAddress? {
            val port = parsePortOrNull(text.substringAfterLast(':')) ?: return null
            val hostText = text.substringBeforeLast(':', "")
            val isBracketed = hostText.startsWith('[') && hostText.endsWith(']')
            if (isBracketed != hostText.contains(':')) return null
            val bytes = ipBytesOrNull(hostText.removeSurrounding("[", "]")) ?: return null
            return SocketAddress(NetUtil.toAddressString(InetAddress.getByAddress(bytes)), port)
        }

        private fun parsePortOrNull(text: String): Int? =
            text.takeIf { it.length <= MAX_PORT_DIGITS && it.all { char -> char in '0'..'9' } }?.toIntOrNull()?.takeIf { it <= MAX_PORT }

        /** Returns the 4 or 16 bytes of the IP address [text], or null if it is none or has a zone, which the bytes would lack. */
        private fun ipBytesOrNull(text: String): ByteArray? =
            if (text.any { it in OTHER_NOTATION }) null else NetUtil.createByteArrayFromIpAddressString(text)

        private const val MAX_PORT_DIGITS = 5
        private const val LIMITED_BROADCAST = "255.255.255.255"

        /** Characters that Netty accepts around or behind the digits of an IP address. */
        private const val OTHER_NOTATION = "[]%"
    }
}
