package yuccaflow.bench

import org.apache.commons.math3.stat.regression.SimpleRegression
import yuccaflow.control.ConfigState
import yuccaflow.control.ControlRecord
import yuccaflow.control.ControlTable
import yuccaflow.control.KeyRange
import yuccaflow.control.RouterId
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.control.ZoneName
import yuccaflow.control.emptyControlTable
import yuccaflow.control.encodeControlRecord
import yuccaflow.control.snapshotOf

/** Number of routers of the largest system that the design aims for. */
private const val ROUTERS = 490

private const val WITNESSES_PER_ROUTER = 7
private const val ZONES = 8
private const val LOOKUPS = 200_000
private const val MOVES = 2_000
private const val NANOS_PER_US = 1_000.0
private const val KEY_DIGITS = 9

/** Garbage collections before memory use is read. */
private const val GC_RUNS = 3
private const val SERVICE = "katalog"

/** Numbers of ranges: one, four and ten for each of 4,900 targets, which are 10 per router. */
private val RANGE_COUNTS = listOf(4_900, 19_600, 49_000)

/**
 * Measures a control table in this process, by number of ranges: memory, checkpoint size, lookup time and time to apply a record. Prints
 * the growth of memory and checkpoint size per range by linear regression.
 */
internal fun measureTableCost(report: Report): Boolean {
    val memory = SimpleRegression()
    val checkpoint = SimpleRegression()
    RANGE_COUNTS.forEach { ranges ->
        val before = usedBytes()
        val table = buildTable(ranges)
        val tableBytes = usedBytes() - before
        val checkpointBytes = encodeControlRecord(ControlRecord.Checkpoint(snapshotOf(table, ConfigState.Empty))).size
        memory.addData(ranges.toDouble(), tableBytes.toDouble())
        checkpoint.addData(ranges.toDouble(), checkpointBytes.toDouble())
        report.case(
            "$ranges ranges",
            mapOf(
                "table_bytes" to tableBytes,
                "checkpoint_bytes" to checkpointBytes,
                "lookup_us" to lookupUs(table, ranges),
                "apply_us" to applyUs(table, ranges),
            ),
        )
    }
    println("slope of table bytes per range: %.0f, R2 %.3f".format(memory.slope, memory.rSquare))
    println("slope of checkpoint bytes per range: %.0f, R2 %.3f".format(checkpoint.slope, checkpoint.rSquare))
    return report.finish()
}

/** Returns a table with [ROUTERS] routers, and [ranges] key ranges of one service that are assigned to the targets in turn. */
private fun buildTable(ranges: Int): ControlTable {
    var table = emptyControlTable()

    fun append(record: ControlRecord) {
        table = table.apply(table.position + 1, record).table
    }
    repeat(ROUTERS) { number ->
        val witnesses = (1..minOf(WITNESSES_PER_ROUTER, number)).map { RouterId("router-${number - it}") }
        append(
            ControlRecord.RouterRegistered(
                RouterId("router-$number"),
                ZoneName("zone-${number % ZONES}"),
                "host-$number",
                "",
                "",
                "",
                witnesses,
            ),
        )
    }
    repeat(ranges) { number ->
        val to = if (number == ranges - 1) null else keyOf(number + 1)
        val range = KeyRange(if (number == 0) "" else keyOf(number), to)
        append(ControlRecord.RangeAssigned(ServiceName(SERVICE), range, TargetId("target-${number % RANGE_COUNTS.first()}")))
    }
    return table
}

private fun keyOf(number: Int): String = number.toString().padStart(KEY_DIGITS, '0')

/** Returns the mean time to look up the range of a key. */
private fun lookupUs(table: ControlTable, ranges: Int): Double = timedUs(LOOKUPS) {
    checkNotNull(table.rangeOf(ServiceName(SERVICE), keyOf(it % ranges)))
}

/** Returns the time per record for starting and cancelling moves of single ranges, which takes two records each. */
private fun applyUs(start: ControlTable, ranges: Int): Double {
    var table = start
    return timedUs(MOVES) { number ->
        val entry = checkNotNull(table.rangeOf(ServiceName(SERVICE), keyOf((number * ranges / MOVES).coerceAtLeast(1))))
        val offset = table.position + 1
        table = table.apply(offset, ControlRecord.MoveStarted(entry.service, entry.range, entry.epoch, TargetId("target-1"))).table
        table = table.apply(offset + 1, ControlRecord.MoveCancelled(entry.service, entry.range, offset)).table
    } / 2
}

/** Returns the mean time of [times] calls of [action], after as many calls to warm up. */
private fun timedUs(times: Int, action: (Int) -> Unit): Double {
    repeat(times) { action(it) }
    val started = System.nanoTime()
    repeat(times) { action(it) }
    return (System.nanoTime() - started) / NANOS_PER_US / times
}

/** Returns the heap in use after a full garbage collection. */
private fun usedBytes(): Long {
    repeat(GC_RUNS) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
