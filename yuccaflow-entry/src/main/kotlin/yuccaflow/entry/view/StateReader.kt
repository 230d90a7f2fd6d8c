package yuccaflow.entry.view

import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.RouterGroup
import yuccaflow.http.SocketAddress

/** Result of reading one aspect of the state of a system. */
sealed interface StateResult<out T> {
    /** The state as of when the read ended. */
    data class Known<T>(
        val state: T,
    ) : StateResult<T>

    /** The store could not be read. */
    data class Unreadable(
        val reason: String,
    ) : StateResult<Nothing>
}

/** Read-only view of a system for operators, read from the platform's store. Nothing is cached between calls. */
interface StateReader {
    /** Reads the state that the operators want: the routing table and the emptied zones. */
    suspend fun desiredState(): StateResult<DesiredState>

    /** Reads the targets' entries and whether the operators evacuate their zones. */
    suspend fun targets(): StateResult<TargetList>

    /** Reads the holders of all key ranges. */
    suspend fun ranges(): StateResult<RangeList>

    /** Reads the routers and which of them is the planner. */
    suspend fun routers(): StateResult<RouterList>
}

/** Creates state readers for one kind of platform. Platform adapters register an implementation for [java.util.ServiceLoader]. */
fun interface StateReaderProvider {
    /** Returns a reader of the store at the address [store]. It connects only when something is read. */
    fun open(store: SocketAddress): StateReader
}

/** Creates a reader of [store] that decodes the records of operators and targets with [decoder]. */
fun stateReader(store: KeyedStore, group: RouterGroup, decoder: RecordDecoder): StateReader = StoreStateReader(store, group, decoder)
