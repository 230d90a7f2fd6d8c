package yuccaflow.bench

/** A plain-text table. The first column is aligned to the left, all others to the right. */
internal class Table(
    private val columns: List<String>,
) {
    private val rows = mutableListOf<List<String>>()

    fun row(cells: List<Any?>) {
        rows += cells.map { cell -> if (cell is Double) "%.2f".format(cell) else cell?.toString() ?: "-" }
    }

    override fun toString(): String {
        val widths = columns.indices.map { index -> (rows.map { it[index].length } + columns[index].length).max() }
        return (listOf(columns) + rows).joinToString("\n") { cells ->
            cells.mapIndexed { index, cell -> if (index == 0) cell.padEnd(widths[0]) else cell.padStart(widths[index]) }.joinToString("  ")
        }
    }
}
