package yuccaflow.router.peer

import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.control.RouterId

/** Time for both handshake messages. */
internal const val HANDSHAKE_TIMEOUT_MS: Long = 1_000

/** Why a peer that said [hello] is refused, or null when it is accepted. */
internal fun refusalOf(hello: PeerMessage?, system: String): String? =
    when {
        hello is PeerMessage.HelloRefused -> "refused by the peer: ${hello.reason}"
        hello !is PeerMessage.Hello -> "expected a handshake, found another message"
        hello.version != PEER_PROTOCOL_VERSION -> "expected protocol version $PEER_PROTOCOL_VERSION, found ${hello.version}"
        hello.system != system -> "expected system $system, found ${hello.system}"
        else -> null
    }

/** Says hello as [self] and waits for the peer's answer; fails with [PeerWireException] when either side refuses. */
internal suspend fun PeerWire.greet(system: String, self: RouterId) {
    output.writeFrame(helloFrame(system, self))
    val answer = readHello()
    refusalOf(answer, system)?.let { throw PeerWireException(it) }
}

/** Waits for a peer's hello and answers it. Returns the peer's id, or null after refusing it. */
internal suspend fun PeerWire.receive(system: String, self: RouterId, mayConnect: (RouterId) -> Boolean): RouterId? {
    val hello = readHello()
    val refusal = refusalOf(hello, system)
        ?: (hello as PeerMessage.Hello).router.takeUnless(mayConnect)?.let { "router $it is not in the control table" }
    if (refusal != null) {
        output.writeFrame(encodeFrame(PeerFrame(NO_CALL, PeerMessage.HelloRefused(refusal))))
        output.flushAndClose()
        return null
    }
    output.writeFrame(helloFrame(system, self))
    return (hello as PeerMessage.Hello).router
}

private suspend fun PeerWire.readHello(): PeerMessage? =
    withTimeoutOrNull(HANDSHAKE_TIMEOUT_MS) { input.readFrame() }
        .let { it ?: throw PeerWireException("no handshake within $HANDSHAKE_TIMEOUT_MS ms") }
        .message

private fun helloFrame(system: String, self: RouterId): ByteArray =
    encodeFrame(PeerFrame(NO_CALL, PeerMessage.Hello(PEER_PROTOCOL_VERSION, system, self)))
