package yuccaflow.entry.store

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events

/** How a router has learned of an era of the store. */
internal enum class EraSource { STORE, ROUTER }

/**
 * The highest era of the store that this router has learned of. The era rises each time that the store loses its last records, because it
 * was restored from a copy. What was read in an older era may be lost, and offsets of different eras are not comparable.
 */
internal class StoreEra(
    private val events: EventLog,
) {
    private val highest = MutableStateFlow(0L)

    /** The highest known era, 0 for a store that has never lost records. */
    val current: Long get() = highest.value

    /** Records that [era] was named in an answer of [source] about [stream], or about several if that is null. */
    fun learn(era: Long, source: EraSource, stream: KeyedStream? = null) {
        val previous = current
        if (era <= previous || era > MAX_STORE_ERA) return
        highest.value = era
        events.log(Events.STORE_ERA_CHANGED) {
            put("stream", stream?.name)
            put("from", previous)
            put("to", era)
            put("learned_from", source.name.lowercase())
        }
    }

    /** Waits until an era after [era] is known. */
    suspend fun awaitNewerThan(era: Long) {
        highest.first { it > era }
    }
}
