package yuccaflow.entry.view

import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.RouterGroup
import yuccaflow.http.SocketAddress

/** Result of reading a part of the state. */
sealed interface StateResult<out T> {
    /** The state as of the end of the reading. */
    data class Known<T>(
        val state: T,
    ) : StateResult<T>

    /** The store cannot be read. */
    data class Unreadable(
        val reason: String,
    ) : StateResult<Nothing>
}

/** Reads what operators may see of a system from the platform's store. Each call reads anew and changes nothing. */
interface StateReader {
    /** Reads what the operators want. */
    suspend fun desiredState(): StateResult<DesiredState>

    /** Reads the targets' entries and which of them lie in emptied zones. */
    suspend fun targets(): StateResult<TargetList>

    /** Reads the holders of all key ranges. */
    suspend fun ranges(): StateResult<RangeList>

    /** Reads the routers, and which of them plans. */
    suspend fun routers(): StateResult<RouterList>
}

/** Opens stores of one kind of platform. The platform's adapter provides it as a service of [java.util.ServiceLoader]. */
fun interface StateReaderProvider {
    /** Returns a reader of the store at [store], which is contacted only when something is read. */
    fun open(store: SocketAddress): StateReader
}

/** Creates a reader of [store]. */
fun stateReader(store: KeyedStore, group: RouterGroup, decoder: RecordDecoder): StateReader = StoreStateReader(store, group, decoder)
