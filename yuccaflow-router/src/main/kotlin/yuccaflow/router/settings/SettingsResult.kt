package yuccaflow.router.settings

import yuccaflow.base.SettingsError
import java.nio.file.Path

/** Result of loading a settings file. */
sealed interface SettingsResult {
    /** The file is valid. */
    data class Loaded(
        val settings: RouterSettings,
    ) : SettingsResult

    /** The file is unreadable or invalid. [errors] are all errors that were found. */
    data class Invalid(
        val errors: List<SettingsError>,
    ) : SettingsResult
}

/** Loads and validates the settings file at [path]. */
fun loadSettings(path: Path): SettingsResult = SettingsLoader().load(path)
