package yuccaflow.http

/** One HTTP header line. */
data class HttpHeader(
    val name: String,
    val value: String,
)

/** An immutable list of HTTP headers in the order of transmission. Names are compared without regard to case. */
data class HttpHeaderList(
    val lines: List<HttpHeader>,
) {
    /** Returns the first value of [name], or null when the header is absent. */
    operator fun get(name: String): String? = lines.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns a list in which all headers of this [name] are replaced by a single one with [value], at the end. */
    fun with(name: String, value: String): HttpHeaderList = HttpHeaderList(without(name).lines + HttpHeader(name, value))

    /** Returns a list without any header of this [name]. */
    fun without(name: String): HttpHeaderList = HttpHeaderList(lines.filterNot { it.name.equals(name, ignoreCase = true) })

    companion object {
        /** The list without headers. */
        val Empty: HttpHeaderList = HttpHeaderList(emptyList())
    }
}

/** Builds a header list from name and value pairs. */
fun headersOf(vararg pairs: Pair<String, String>): HttpHeaderList = HttpHeaderList(pairs.map { HttpHeader(it.first, it.second) })
