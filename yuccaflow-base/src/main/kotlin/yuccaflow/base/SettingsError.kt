package yuccaflow.base

/** A mistake in a settings file. A null [key] means the section or, when [section] is null too, the file as a whole. */
data class SettingsError(
    val section: String?,
    val key: String?,
    val expected: String,
    val found: String,
) {
    override fun toString(): String {
        val place = listOfNotNull(section?.let { "[$it]" }, key).joinToString(" ").ifEmpty { "file" }
        return "$place: expected $expected, found $found"
    }
}
