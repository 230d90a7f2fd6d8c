package yuccaflow.control

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val configFormat = Json { encodeDefaults = true }

/** Encodes [record] as JSON for the `config` stream. */
fun encodeConfigRecord(record: ConfigRecord): ByteArray = configFormat.encodeToString(record).encodeToByteArray()

/** Decodes a record of the `config` stream. Returns null if it is unreadable or of an unknown kind; every reader ignores it. */
fun decodeConfigRecord(bytes: ByteArray): ConfigRecord? =
    try {
        configFormat.decodeFromString<ConfigRecord>(bytes.decodeToString(throwOnInvalidSequence = true))
    } catch (ignored: SerializationException) {
        null
    } catch (ignored: CharacterCodingException) {
        null
    } catch (ignored: IllegalArgumentException) {
        null
    }
