package yuccaflow.router.settings

import java.nio.file.Path

/** A mistake in a settings file. A null [key] means the section or, when [section] is null too, the file as a whole. */
data class SettingsMistake(
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

/** Result of loading a settings file. */
sealed interface SettingsResult {
    /** The file is valid. */
    data class Loaded(
        val settings: RouterSettings,
    ) : SettingsResult

    /** The file cannot be used; [mistakes] holds all that were found. */
    data class Invalid(
        val mistakes: List<SettingsMistake>,
    ) : SettingsResult
}

/** Reads and checks the settings file at [path]. */
fun loadSettings(path: Path): SettingsResult = SettingsLoader().load(path)
