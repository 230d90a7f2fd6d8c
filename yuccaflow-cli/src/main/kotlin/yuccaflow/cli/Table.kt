package yuccaflow.cli

/** Lays out [rows] under [header] in columns that are as wide as their widest cell. */
internal fun table(header: List<String>, rows: List<List<String>>): String {
    val lines = listOf(header) + rows
    val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { line -> line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd() }
}

/** A cell for a value that may be unknown. */
internal fun cell(value: Any?): String = when (value) {
    null -> "-"
    is Double -> "%.1f".format(java.util.Locale.ROOT, value)
    else -> value.toString()
}
