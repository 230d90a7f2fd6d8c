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

private const val ROUTERS = 490
private const val WITNESSES = 7
private const val ZONES = 8
private const val LOOKUPS = 200_000
private const val MOVES = 2_000
private const val NANOS_PER_US = 1_000.0
private const val KEY_DIGITS = 9
private const val GC_RUNS = 3
private const val SERVICE = "katalog"

/** One, four and ten ranges per target, for 4,900 targets: 10 per router at the system size that the design aims for. */
private val TABLE_SIZES = listOf(4_900, 19_600, 49_000)

/** Measures memory, checkpoint size, lookup time and time per applied record of a control table in this process, by number of ranges. */
internal fun measureTableCost(report: Report): Boolean {
    val memory = SimpleRegression()
    val checkpoint = SimpleRegression()
    TABLE_SIZES.forEach { ranges ->
        val before = usedBytes()
        val table = tableOf(ranges)
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

private fun tableOf(ranges: Int): ControlTable {
    var table = emptyControlTable()

    fun add(record: ControlRecord) {
        table = table.apply(table.position + 1, record).table
    }
    repeat(ROUTERS) { number ->
        val witnesses = (1..minOf(WITNESSES, number)).map { RouterId("router-${number - it}") }
        add(
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
        add(ControlRecord.RangeAssigned(ServiceName(SERVICE), range, TargetId("target-${number % TABLE_SIZES.first()}")))
    }
    return table
}

private fun keyOf(number: Int): String = number.toString().padStart(KEY_DIGITS, '0')

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

private fun usedBytes(): Long {
    repeat(GC_RUNS) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
