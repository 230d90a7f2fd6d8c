package yuccaflow.entry.routing

import yuccaflow.http.HttpHeaderList

/** What a target that turns a request away asks for in `Retry-After`. */
internal sealed interface PauseRequest {
    /** The target asks for no pause. */
    data object None : PauseRequest

    /** The header has no value that can be used. It is ignored. */
    data object Invalid : PauseRequest

    /** The target wants no requests of this router for [durationMs]. */
    data class Pause(
        val durationMs: Long,
    ) : PauseRequest

    companion object {
        private const val HEADER = "Retry-After"
        private const val MS_PER_S = 1_000
        private val SECONDS = Regex("""(\d+)(\.\d+)?""")

        /** Longer than the entry of any target lives, and short enough to be added to a time. */
        private const val MAX_S = 1_000_000_000L

        /**
         * Reads the pause from [headers]. A value is a number of seconds in decimal digits, with or without a fraction. Anything else, such
         * as an empty value, a sign, an exponent or a date, is invalid. A number beyond all use means: as long as the target's process is
         * known. If the header is repeated, the longest valid value holds.
         */
        fun of(headers: HttpHeaderList): PauseRequest {
            val values = headers.lines.filter { it.name.equals(HEADER, ignoreCase = true) }.map { it.value.trim() }
            if (values.isEmpty()) return None
            val longestMs = values.mapNotNull(::parseMs).maxOrNull() ?: return Invalid
            return if (longestMs == 0L) None else Pause(longestMs)
        }

        private fun parseMs(value: String): Long? {
            if (!SECONDS.matches(value)) return null
            return (value.toDouble().coerceAtMost(MAX_S.toDouble()) * MS_PER_S).toLong()
        }
    }
}
