package yuccaflow.router.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.IOException

/** Call id of frames that belong to no call: handshakes and probes. */
internal const val NO_CALL_ID: Long = 0

/**
 * A frame of the protocol between routers. The answer to a call has the same [callId] as the call. A frame without a [message] is a
 * probe, which the peer sends back unchanged.
 */
@Serializable
internal class PeerFrame(
    val callId: Long,
    val message: PeerMessage?,
)

/** The peer violated the protocol, refused the handshake, or did not connect or answer the handshake in time. */
internal class PeerProtocolException(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    ignoreUnknownKeys = true
    alwaysUseByteString = true
}

/** Encodes [frame] without its length prefix. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(frame: PeerFrame): ByteArray = cbor.encodeToByteArray(frame)

@OptIn(ExperimentalSerializationApi::class)
internal fun decodeFrame(bytes: ByteArray): PeerFrame =
    try {
        cbor.decodeFromByteArray<PeerFrame>(bytes)
    } catch (e: SerializationException) {
        throw PeerProtocolException("expected a CBOR frame of ${bytes.size} bytes, found: ${e.message}", e)
    } catch (e: IllegalArgumentException) {
        throw PeerProtocolException("expected a CBOR frame of ${bytes.size} bytes, found: ${e.message}", e)
    }

/**
 * Reads one frame.
 * @throws PeerProtocolException when the length is out of range or the content is not a valid frame.
 */
internal suspend fun ByteReadChannel.readFrame(): PeerFrame {
    val length = readInt()
    if (length !in 1..PEER_FRAME_LIMIT_BYTES) {
        throw PeerProtocolException("expected a frame of 1 to $PEER_FRAME_LIMIT_BYTES bytes, found $length")
    }
    return decodeFrame(readByteArray(length))
}

/** Writes one encoded frame with its length prefix. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    writeByteArray(bytes)
    flush()
}
