package yuccaflow.cli

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy
import java.io.PrintStream

/** Prints the output of one command: results as text or JSON to [out], progress and errors to [err]. */
internal class Console(
    private val out: PrintStream,
    private val err: PrintStream,
    private val isJson: Boolean,
) {
    /** Prints [value] as JSON if the command was run with `--json`, otherwise as formatted by [text]. */
    fun <T> result(serializer: SerializationStrategy<T>, value: T, text: (T) -> String) {
        out.println(if (isJson) PRETTY_JSON.encodeToString(serializer, value) else text(value))
    }

    /** Prints a progress message. */
    fun progress(text: String) {
        err.println(text)
    }

    /** Prints an error message, which should say what went wrong and what to do next. */
    fun error(text: String) {
        err.println("yuccactl: $text")
    }

    private companion object {
        @OptIn(ExperimentalSerializationApi::class)
        val PRETTY_JSON = Json {
            namingStrategy = JsonNamingStrategy.SnakeCase
            encodeDefaults = true
            prettyPrint = true
        }
    }
}
