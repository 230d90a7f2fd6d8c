package yuccaflow.router.membership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.control.ConfigState
import yuccaflow.control.ControlRecord
import yuccaflow.control.ControlTable
import yuccaflow.control.RouterId
import yuccaflow.control.RouterStage
import yuccaflow.control.Snapshot
import yuccaflow.control.applyConfigRecord
import yuccaflow.control.controlTable
import yuccaflow.control.decodeConfigRecord
import yuccaflow.control.decodeControlRecord
import yuccaflow.control.emptyControlTable
import yuccaflow.external.LogRecord
import yuccaflow.router.RouterState
import java.util.concurrent.ConcurrentHashMap

/** This router's copy of the state of both streams. Several readers may deliver records concurrently; each is applied once, in order. */
internal class Replica(
    private val timer: TimerService,
    private val onTable: (ControlTable) -> Unit,
) {
    private val lock = Any()
    private val current = MutableStateFlow(RouterState(emptyControlTable(), ConfigState.Empty))
    private val endedAtMsByRouter = ConcurrentHashMap<RouterId, Long>()
    private val recent = ArrayDeque<LogRecord>()

    /** The state after the records applied so far. */
    val state: StateFlow<RouterState> get() = current

    /** Local time at which the last checkpoint was read, or null if none was read yet. */
    @Volatile
    var checkpointReadAtMs: Long? = null
        private set

    /** Local time at which this router read that the lease of [router] has ended, or null if it has not read that. */
    fun endedAtMs(router: RouterId): Long? = endedAtMsByRouter[router]

    /** Applies the [records] of `control` that follow the current position without a gap. */
    fun applyControl(records: List<LogRecord>) = synchronized(lock) {
        var table = current.value.table
        for (record in records) {
            if (record.offset <= table.position) continue
            if (record.offset != table.position + 1) break
            val decoded = decodeControlRecord(record.data)
            val applied = table.apply(record.offset, decoded)
            applied.voidReason?.let { Logger.debug("control record {} has no effect: {}", record.offset, it) }
            table = applied.table
            if (decoded is ControlRecord.Checkpoint) checkpointReadAtMs = timer.nowMs()
            retain(record)
        }
        tableUpdated(table)
        current.value = current.value.copy(table = table)
    }

    /** Applies the [records] of `config` that follow the current position without a gap. */
    fun applyConfig(records: List<LogRecord>) = synchronized(lock) {
        var config = current.value.config
        for (record in records) {
            if (record.offset <= config.position) continue
            if (record.offset != config.position + 1) break
            config = applyConfigRecord(config, record.offset, decodeConfigRecord(record.data))
        }
        current.value = current.value.copy(config = config)
    }

    /** Replaces the control table and the configuration by those of [snapshot], each unless it is older than the current one. */
    fun load(snapshot: Snapshot) = synchronized(lock) {
        val before = current.value
        val table = if (snapshot.tablePosition > before.table.position) controlTable(snapshot) else before.table
        val config = if (snapshot.configPosition > before.config.position) snapshot.config else before.config
        if (table !== before.table) recent.clear()
        tableUpdated(table)
        current.value = RouterState(table, config)
    }

    /** Returns the records from [fromOffset] on that are in memory, or null if [fromOffset] is too old or not read yet. */
    fun recentControl(fromOffset: Long, maxRecords: Int): List<LogRecord>? = synchronized(lock) {
        val first = recent.firstOrNull()?.offset ?: return null
        if (fromOffset < first || fromOffset > recent.last().offset) return null
        recent.drop((fromOffset - first).toInt()).take(maxRecords)
    }

    private fun retain(record: LogRecord) {
        recent.addLast(record)
        if (recent.size > RECENT_RECORDS) recent.removeFirst()
    }

    /** Passes the table to the lease. Must be called before the new state is published, so that no one acts on it first. */
    private fun tableUpdated(table: ControlTable) {
        onTable(table)
        val nowMs = timer.nowMs()
        val routers = table.routers.values
            .filter { it.stage == RouterStage.ENDED }
            .map { it.id }
        routers.forEach { endedAtMsByRouter.putIfAbsent(it, nowMs) }
        endedAtMsByRouter.keys.retainAll(routers.toSet())
    }

    private companion object {
        /** Number of records kept for peers to read while the log is down: several seconds at the highest append rate. */
        const val RECENT_RECORDS = 2_048
    }
}
