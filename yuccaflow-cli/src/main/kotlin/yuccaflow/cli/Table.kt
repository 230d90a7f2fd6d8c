package yuccaflow.cli

/** Formats [rows] under [header] as text. Each column is as wide as its widest cell. */
internal fun table(header: List<String>, rows: List<List<String>>): String {
    val lines = listOf(header) + rows
    val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { line -> line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd() }
}

/** Formats a value as a cell, with `-` for an unknown value. */
internal fun cell(value: Any?): String = when (value) {
    null -> "-"
    is Double -> "%.1f".format(java.util.Locale.ROOT, value)
    else -> value.toString()
}
