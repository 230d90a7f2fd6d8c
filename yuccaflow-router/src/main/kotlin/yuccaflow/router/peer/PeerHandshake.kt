package yuccaflow.router.peer

import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.control.RouterId

/** Timeout for the peer's message of the handshake. */
internal const val HANDSHAKE_TIMEOUT_MS: Long = 1_000

/** Returns why a peer that sent [hello] is refused, or null when it is accepted. */
internal fun refusalReason(hello: PeerMessage?, system: String): String? =
    when {
        hello is PeerMessage.HelloRefused -> "refused by the peer: ${hello.reason}"
        hello !is PeerMessage.Hello -> "expected a handshake, found another message"
        hello.version != PEER_PROTOCOL_VERSION -> "expected protocol version $PEER_PROTOCOL_VERSION, found ${hello.version}"
        hello.system != system -> "expected system $system, found ${hello.system}"
        else -> null
    }

/**
 * Performs the handshake of the router that opened the connection, with the id [self].
 * @throws PeerProtocolException when either side refuses the other or the peer does not answer within [HANDSHAKE_TIMEOUT_MS].
 */
internal suspend fun PeerSocket.clientHandshake(system: String, self: RouterId) {
    output.writeFrame(helloFrame(system, self))
    val answer = readHello()
    refusalReason(answer, system)?.let { throw PeerProtocolException(it) }
}

/**
 * Performs the handshake of the router that accepted the connection. Returns the peer's id, or null after refusing it.
 * @throws PeerProtocolException when the peer does not send its handshake within [HANDSHAKE_TIMEOUT_MS].
 */
internal suspend fun PeerSocket.serverHandshake(system: String, self: RouterId, mayConnect: (RouterId) -> Boolean): RouterId? {
    val hello = readHello()
    val refusal = refusalReason(hello, system)
        ?: (hello as PeerMessage.Hello).router.takeUnless(mayConnect)?.let { "router $it is not in the control table" }
    if (refusal != null) {
        output.writeFrame(encodeFrame(PeerFrame(NO_CALL_ID, PeerMessage.HelloRefused(refusal))))
        output.flushAndClose()
        return null
    }
    output.writeFrame(helloFrame(system, self))
    return (hello as PeerMessage.Hello).router
}

private suspend fun PeerSocket.readHello(): PeerMessage? =
    withTimeoutOrNull(HANDSHAKE_TIMEOUT_MS) { input.readFrame() }
        .let { it ?: throw PeerProtocolException("no handshake within $HANDSHAKE_TIMEOUT_MS ms") }
        .message

private fun helloFrame(system: String, self: RouterId): ByteArray =
    encodeFrame(PeerFrame(NO_CALL_ID, PeerMessage.Hello(PEER_PROTOCOL_VERSION, system, self)))
