package yuccaflow.base

import org.ini4j.Profile
import yuccaflow.http.SocketAddress

/** Reads the keys of one section and notes its mistakes. An absent section reads as an empty one. */
class SettingsSection(
    private val name: String,
    private val section: Profile.Section?,
    private val mistakes: MutableList<SettingsError>,
) {
    /** The lines of the section in the form `key:value`, for keys that themselves contain a colon. */
    fun lines(): List<String> = section?.keys.orEmpty().flatMap { key -> section!!.getAll(key).map { "$key:${it.orEmpty()}" } }

    fun mistake(key: String?, expected: String, found: String) {
        mistakes += SettingsError(name, key, expected, found)
    }

    /** Notes keys outside [known] and keys given more than once. */
    fun expectKeys(known: Set<String>) {
        for (key in section?.keys.orEmpty()) {
            if (key !in known) mistake(key, "one of ${known.joinToString()}", "an unknown key")
            val count = section!!.getAll(key).size
            if (count > 1) mistake(key, "the key once", "it $count times")
        }
    }

    /** The value of [key] as converted by [convert], or null after noting that it is absent or not [expected]. */
    fun <T : Any> required(key: String, expected: String, convert: (String) -> T?): T? {
        val text = text(key)
        if (text == null) mistake(key, expected, "nothing")
        return text?.let { converted(key, it, expected, convert) }
    }

    /** Like [required], but an absent key is no mistake and gives null. */
    fun <T : Any> optional(key: String, expected: String, convert: (String) -> T?): T? =
        text(key)?.let { converted(key, it, expected, convert) }

    fun word(key: String): String? = required(key, "a word without white space") { text -> text.takeIf(::isWord) }

    fun address(key: String): SocketAddress? = required(key, ADDRESS, SocketAddress::parseOrNull)

    fun optionalAddress(key: String): SocketAddress? = optional(key, ADDRESS, SocketAddress::parseOrNull)

    /** A whole number in [range], or [default] when the key is absent or mistaken. */
    fun number(key: String, range: LongRange, default: Long): Long =
        optional(key, "a whole number from ${range.first} to ${range.last}") { text -> text.toLongOrNull()?.takeIf { it in range } }
            ?: default

    private fun text(key: String): String? = section?.get(key)?.trim()

    private fun <T : Any> converted(key: String, text: String, expected: String, convert: (String) -> T?): T? {
        val value = convert(text)
        if (value == null) mistake(key, expected, if (text.isEmpty()) "an empty value" else "'$text'")
        return value
    }

    private fun isWord(text: String) = text.isNotEmpty() && text.none { it.isWhitespace() || it.isISOControl() }

    companion object {
        internal const val ADDRESS = "an address of the form IP:PORT"
    }
}
