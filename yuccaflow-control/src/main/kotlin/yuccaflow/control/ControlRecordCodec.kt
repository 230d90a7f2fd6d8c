package yuccaflow.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

@OptIn(ExperimentalSerializationApi::class)
private val controlFormat = Cbor { encodeDefaults = true }

/** Encodes [record] as CBOR for the `control` stream. */
@OptIn(ExperimentalSerializationApi::class)
fun encodeControlRecord(record: ControlRecord): ByteArray = controlFormat.encodeToByteArray(record)

/** Decodes a record of the `control` stream. Returns null if it is unreadable or of an unknown kind; every reader treats it as void. */
@OptIn(ExperimentalSerializationApi::class)
fun decodeControlRecord(bytes: ByteArray): ControlRecord? =
    try {
        controlFormat.decodeFromByteArray<ControlRecord>(bytes)
    } catch (ignored: RuntimeException) {
        // The decoder reports truncated input with several unrelated exceptions besides SerializationException.
        null
    }
