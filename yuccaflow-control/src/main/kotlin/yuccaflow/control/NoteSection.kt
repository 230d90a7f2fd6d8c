package yuccaflow.control

import org.ini4j.Profile

/** Reads the keys of one section and collects its mistakes. */
internal class NoteSection(
    private val section: Profile.Section,
    private val mistakes: MutableList<NoteMistake>,
) {
    /** Title of the section. */
    val title: String = section.name

    /** Reports a mistake in [key], or in the whole section when it is null. */
    fun mistake(key: String?, expected: String, found: String) {
        mistakes += NoteMistake(title, key, expected, found)
    }

    /** Reports keys outside [known] and keys that occur more than once. */
    fun expectKeys(known: Set<String>) {
        for (key in section.keys) {
            if (key !in known) mistake(key, if (known.isEmpty()) "no keys" else "one of ${known.joinToString()}", "an unknown key")
            val count = section.getAll(key).size
            if (count > 1) mistake(key, "the key once", "it $count times")
        }
    }

    /** The value of [key]; null when it is absent. An empty value is an empty string. */
    fun optional(key: String): String? = if (key in section.keys) section[key].orEmpty().trim() else null

    /** The value of [key], which must be given and not empty. */
    fun required(key: String, expected: String): String? {
        val value = optional(key)
        if (value.isNullOrEmpty()) mistake(key, expected, if (value == null) "nothing" else "an empty value")
        return value?.ifEmpty { null }
    }

    /** The value of [key] as a word without white space. */
    fun word(key: String): String? = valid(key, "a word without white space") { value -> value.takeIf { isWord(it) } }

    /** The value of [key] as a whole number in [range]. */
    fun number(key: String, range: LongRange): Long? =
        valid(key, "a whole number from ${range.first} to ${range.last}") { value -> value.toLongOrNull()?.takeIf { it in range } }

    /** The value of [key] as converted by [convert], which returns null for a value that is not [expected]. */
    fun <T : Any> valid(key: String, expected: String, convert: (String) -> T?): T? {
        val value = required(key, expected) ?: return null
        val converted = convert(value)
        if (converted == null) mistake(key, expected, "'$value'")
        return converted
    }
}

/** Tells whether [text] can be the name of an entry. */
internal fun isWord(text: String): Boolean = text.isNotEmpty() && text.none { it.isWhitespace() || it.isISOControl() }
