package yuccaflow.cli

import kotlinx.serialization.KSerializer
import yuccaflow.entry.view.DesiredState
import yuccaflow.entry.view.RangeList
import yuccaflow.entry.view.RejectedRecord
import yuccaflow.entry.view.RouterList
import yuccaflow.entry.view.StateReader
import yuccaflow.entry.view.StateReaderProvider
import yuccaflow.entry.view.StateResult
import yuccaflow.entry.view.TargetList
import yuccaflow.http.SocketAddress
import java.util.ServiceLoader

/** Returns a reader of the platform's store at [address], provided by the platform adapter on the class path. */
internal fun platformStore(address: SocketAddress): StateReader =
    ServiceLoader.load(StateReaderProvider::class.java).single().open(address)

/** Shows the state of a system that is kept in a platform's store. The commands only read from the store. */
internal class StoreCommands(
    private val reader: StateReader,
    private val store: SocketAddress,
    private val console: Console,
) : StateCommands {
    /** Shows the planner and all routers that have ever started. The store does not tell which of them are live. */
    override suspend fun status(): ExitStatus = show(reader.routers(), RouterList.serializer(), ::routersText) { list ->
        warnAboutRejected(list.rejected)
        if (list.candidates == null) console.error("the members of the routers' group are unknown: the store did not list them.")
        if (list.routers.isNotEmpty()) return@show ExitStatus.DONE
        console.error("no router has registered. Start routers and try again.")
        ExitStatus.UNREACHABLE
    }

    /** Shows the owners of all key ranges. */
    override suspend fun owners(): ExitStatus = show(reader.ranges(), RangeList.serializer(), ::rangesText) { list ->
        warnAboutRejected(list.rejected)
        ExitStatus.DONE
    }

    /** Shows the entries of the targets. The store does not tell whether a target is reachable. */
    override suspend fun targets(): ExitStatus = show(reader.targets(), TargetList.serializer(), ::targetsText) { list ->
        warnAboutRejected(list.rejected)
        ExitStatus.DONE
    }

    /** Shows the routing table and the zones that the operators evacuate. */
    override suspend fun notes(): ExitStatus = show(reader.desiredState(), DesiredState.serializer(), ::desiredStateText) { state ->
        warnAboutRejected(state.rejected)
        if (state.version != null) return@show ExitStatus.DONE
        console.error("the store has no valid routing table. Routers keep the last valid one that they have read.")
        ExitStatus.UNKNOWN
    }

    /** Prints the state and returns the exit status that [check] gives it, or reports that the store cannot be read. */
    private fun <T> show(result: StateResult<T>, serializer: KSerializer<T>, text: (T) -> String, check: (T) -> ExitStatus): ExitStatus =
        when (result) {
            is StateResult.Known -> {
                console.result(serializer, result.state, text)
                check(result.state)
            }
            is StateResult.Unreadable -> {
                console.error("cannot read the store at $store: ${result.reason}. Check --store, or try again later.")
                ExitStatus.UNREACHABLE
            }
        }

    private fun warnAboutRejected(records: List<RejectedRecord>) =
        records.forEach { console.error("skipped the record ${it.key} at offset ${it.offset}: ${it.reason}") }
}
