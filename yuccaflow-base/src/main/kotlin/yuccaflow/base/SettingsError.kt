package yuccaflow.base

/** An error in a settings file. It concerns the whole section when [key] is null, and the whole file when [section] is null too. */
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
