package yuccaflow.base

import org.ini4j.Profile
import yuccaflow.http.SocketAddress

/** Reads and validates the keys of one section of an INI file and collects the errors. A missing section is read as an empty one. */
class SettingsSection(
    private val name: String,
    private val section: Profile.Section?,
    private val errors: MutableList<SettingsError>,
) {
    /** Returns the lines of the section in the form `key:value`, for keys that contain a colon themselves. */
    fun lines(): List<String> = section?.keys.orEmpty().flatMap { key -> section!!.getAll(key).map { "$key:${it.orEmpty()}" } }

    fun addError(key: String?, expected: String, found: String) {
        errors += SettingsError(name, key, expected, found)
    }

    /** Adds an error for each key that is not in [known] and for each key that is given more than once. */
    fun expectKeys(known: Set<String>) {
        for (key in section?.keys.orEmpty()) {
            if (key !in known) addError(key, "one of ${known.joinToString()}", "an unknown key")
            val count = section!!.getAll(key).size
            if (count > 1) addError(key, "the key once", "it $count times")
        }
    }

    /**
     * Returns the value of [key], converted by [convert]. When the key is missing or [convert] returns null, adds an error that describes
     * the [expected] value and returns null.
     */
    fun <T : Any> required(key: String, expected: String, convert: (String) -> T?): T? {
        val text = text(key)
        if (text == null) addError(key, expected, "nothing")
        return text?.let { convertOrNull(key, it, expected, convert) }
    }

    /** Like [required], but returns null without an error when the key is missing. */
    fun <T : Any> optional(key: String, expected: String, convert: (String) -> T?): T? =
        text(key)?.let { convertOrNull(key, it, expected, convert) }

    fun word(key: String): String? = required(key, "a word without white space") { text -> text.takeIf(::isWord) }

    fun address(key: String): SocketAddress? = required(key, ADDRESS, SocketAddress::parseOrNull)

    fun optionalAddress(key: String): SocketAddress? = optional(key, ADDRESS, SocketAddress::parseOrNull)

    /** Returns the value of [key] as a whole number in [range], or [default] when the key is missing or, with an error, invalid. */
    fun number(key: String, range: LongRange, default: Long): Long =
        optional(key, "a whole number from ${range.first} to ${range.last}") { text -> text.toLongOrNull()?.takeIf { it in range } }
            ?: default

    private fun text(key: String): String? = section?.get(key)?.trim()

    private fun <T : Any> convertOrNull(key: String, text: String, expected: String, convert: (String) -> T?): T? {
        val value = convert(text)
        if (value == null) addError(key, expected, if (text.isEmpty()) "an empty value" else "'$text'")
        return value
    }

    private fun isWord(text: String) = text.isNotEmpty() && text.none { it.isWhitespace() || it.isISOControl() }

    companion object {
        internal const val ADDRESS = "an address of the form IP:PORT"
    }
}
