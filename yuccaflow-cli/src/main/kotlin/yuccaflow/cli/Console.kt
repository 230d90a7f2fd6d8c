package yuccaflow.cli

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy
import java.io.PrintStream

/** The output of one command: results as text or JSON on [out], progress and errors on [err]. */
internal class Console(
    private val out: PrintStream,
    private val err: PrintStream,
    private val json: Boolean,
) {
    /** Prints a result in the form that was asked for. */
    fun <T> result(shape: SerializationStrategy<T>, value: T, text: (T) -> String) {
        out.println(if (json) PRETTY.encodeToString(shape, value) else text(value))
    }

    /** Prints a line of progress. */
    fun progress(text: String) {
        err.println(text)
    }

    /** Prints what went wrong and what to do next. */
    fun error(text: String) {
        err.println("yuccactl: $text")
    }

    private companion object {
        @OptIn(ExperimentalSerializationApi::class)
        val PRETTY = Json {
            namingStrategy = JsonNamingStrategy.SnakeCase
            encodeDefaults = true
            prettyPrint = true
        }
    }
}
