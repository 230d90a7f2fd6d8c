package yuccaflow.control

import org.ini4j.Profile

/** Reads the values of one section of a release note and adds its mistakes to [mistakes]. */
internal class NoteSection(
    private val section: Profile.Section,
    private val mistakes: MutableList<NoteMistake>,
) {
    /** Title of the section. */
    val title: String = section.name

    /** Adds a mistake in [key], or in the whole section if [key] is null. */
    fun addMistake(key: String?, expected: String, found: String) {
        mistakes += NoteMistake(title, key, expected, found)
    }

    /** Adds a mistake for each key that is not in [known] or occurs more than once. */
    fun expectKeys(known: Set<String>) {
        for (key in section.keys) {
            if (key !in known) addMistake(key, if (known.isEmpty()) "no keys" else "one of ${known.joinToString()}", "an unknown key")
            val count = section.getAll(key).size
            if (count > 1) addMistake(key, "the key once", "it $count times")
        }
    }

    /** The trimmed value of [key]; null if the key is absent. */
    fun optional(key: String): String? = if (key in section.keys) section[key].orEmpty().trim() else null

    /** The value of [key]. Adds a mistake and returns null if it is absent or empty. */
    fun required(key: String, expected: String): String? {
        val value = optional(key)
        if (value.isNullOrEmpty()) addMistake(key, expected, if (value == null) "nothing" else "an empty value")
        return value?.ifEmpty { null }
    }

    /** The value of [key], which must not contain white space or control characters. */
    fun word(key: String): String? = parsed(key, "a word without white space") { value -> value.takeIf { isWord(it) } }

    /** The value of [key] as an integer in [range]. */
    fun number(key: String, range: LongRange): Long? =
        parsed(key, "a whole number from ${range.first} to ${range.last}") { value -> value.toLongOrNull()?.takeIf { it in range } }

    /** The value of [key] as converted by [convert]. Adds a mistake if [convert] returns null because the value is not [expected]. */
    fun <T : Any> parsed(key: String, expected: String, convert: (String) -> T?): T? {
        val value = required(key, expected) ?: return null
        val converted = convert(value)
        if (converted == null) addMistake(key, expected, "'$value'")
        return converted
    }
}

/** Returns whether [text] is not empty and contains no white space and no control characters. */
internal fun isWord(text: String): Boolean = text.isNotEmpty() && text.none { it.isWhitespace() || it.isISOControl() }
