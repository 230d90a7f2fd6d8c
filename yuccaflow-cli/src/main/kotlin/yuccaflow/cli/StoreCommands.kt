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

/** Returns a reader of the platform's store at [address] from the adapter that this program was built with. */
internal fun platformStore(address: SocketAddress): StateReader =
    ServiceLoader.load(StateReaderProvider::class.java).single().open(address)

/** The commands that show the state of a system on a platform's store. They only read. */
internal class StoreCommands(
    private val reader: StateReader,
    private val store: SocketAddress,
    private val console: Console,
) : StateCommands {
    /** Shows the planner and all routers that have started. Nothing in the store tells whether a router is live. */
    override suspend fun status(): ExitStatus = show(reader.routers(), RouterList.serializer(), ::routersText) { list ->
        warnOfRejected(list.rejected)
        if (list.candidates == null) console.error("the members of the routers' group are unknown: the store did not list them.")
        if (list.routers.isNotEmpty()) return@show ExitStatus.DONE
        console.error("no router has registered. Start routers and try again.")
        ExitStatus.UNREACHABLE
    }

    /** Shows the holders of all key ranges. */
    override suspend fun owners(): ExitStatus = show(reader.ranges(), RangeList.serializer(), ::rangesText) { list ->
        warnOfRejected(list.rejected)
        ExitStatus.DONE
    }

    /** Shows the targets' entries. Nothing in the store tells whether a target answers. */
    override suspend fun targets(): ExitStatus = show(reader.targets(), TargetList.serializer(), ::targetsText) { list ->
        warnOfRejected(list.rejected)
        ExitStatus.DONE
    }

    /** Shows the routing table and the emptied zones. */
    override suspend fun notes(): ExitStatus = show(reader.desiredState(), DesiredState.serializer(), ::desiredText) { state ->
        warnOfRejected(state.rejected)
        if (state.version != null) return@show ExitStatus.DONE
        console.error("the store has no valid routing table. Routers keep the last valid one that they have read.")
        ExitStatus.UNKNOWN
    }

    /** Prints what was read and returns the status that [check] finds, or tells that the store cannot be read. */
    private fun <T> show(result: StateResult<T>, shape: KSerializer<T>, text: (T) -> String, check: (T) -> ExitStatus): ExitStatus =
        when (result) {
            is StateResult.Known -> {
                console.result(shape, result.state, text)
                check(result.state)
            }
            is StateResult.Unreadable -> {
                console.error("cannot read the store at $store: ${result.reason}. Check --store, or try again later.")
                ExitStatus.UNREACHABLE
            }
        }

    private fun warnOfRejected(records: List<RejectedRecord>) =
        records.forEach { console.error("the record ${it.key} at offset ${it.offset} was left out: ${it.reason}") }
}
