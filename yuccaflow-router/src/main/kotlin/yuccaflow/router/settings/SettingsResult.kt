package yuccaflow.router.settings

import yuccaflow.base.SettingsError
import java.nio.file.Path

/** Result of loading a settings file. */
sealed interface SettingsResult {
    /** The file is valid. */
    data class Loaded(
        val settings: RouterSettings,
    ) : SettingsResult

    /** The file cannot be used; [mistakes] holds all that were found. */
    data class Invalid(
        val mistakes: List<SettingsError>,
    ) : SettingsResult
}

/** Reads and checks the settings file at [path]. */
fun loadSettings(path: Path): SettingsResult = SettingsLoader().load(path)
