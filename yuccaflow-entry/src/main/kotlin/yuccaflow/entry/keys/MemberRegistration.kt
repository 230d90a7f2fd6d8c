package yuccaflow.entry.keys

import yuccaflow.base.TimerService
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.StoreEra

/** Adds a router to the members. Limits that all routers share are divided by the number of members. */
internal class MemberRegistration(
    private val store: KeyedStore,
    private val clusterState: ClusterState,
    private val storeEra: StoreEra,
    private val timer: TimerService,
) {
    /** Writes [member], again in each new era of the store that may lack it, until cancelled. */
    suspend fun run(member: RouterMember) {
        while (clusterState.endOffset == null) timer.sleep(RETRY_DELAY_MS)
        while (true) {
            val era = clusterState.era
            write(member)
            storeEra.awaitNewerThan(era)
            while (clusterState.era <= era) timer.sleep(RETRY_DELAY_MS)
        }
    }

    private suspend fun write(member: RouterMember) {
        while (!clusterState.hasMember(member)) {
            val result = store.append(KeyedStream.ROUTERS, listOf(ClusterState.memberChange(member)), null)
            if (result is KeyedAppendResult.Appended) return
            timer.sleep(RETRY_DELAY_MS)
        }
    }

    private companion object {
        const val RETRY_DELAY_MS = 500L
    }
}
