package yuccaflow.entry.peer

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import yuccaflow.base.TimerService
import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.LoopbackHttpClient
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.StubKeyGrantClient
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.KeyGrantResult
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.TargetEndpoint
import yuccaflow.entry.keys.balance.KeyLoadTracker
import yuccaflow.entry.keys.planner.PlannerAuthority
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.http.SocketAddress

@DisplayName("Access to the store with failover to other routers")
class FailoverStoreAccessTest {
    private inner class Fixture(
        timer: TimerService,
        releaseResult: KeyGrantResult = KeyGrantResult.Done("token"),
    ) {
        val data = FakeStoreData(timer)
        val ownStore = FakeStore(data)
        val peerStore = FakeStore(data)
        val log = RecordingEventLog()
        val peer = SocketAddress("10.0.0.2", 1)
        private val otherPeer = SocketAddress("10.0.0.4", 1)
        private val clusterState = ClusterState(timer, log)
        private val authority = PlannerAuthority("peer", "life", clusterState, timer, timer::nowMs, KeyOwnershipSettings(), log) { null }
        private val plannerEndpoint = PlannerEndpoint(authority, clusterState, timer)
        val client =
            RelayClient(
                LoopbackHttpClient(
                    relayHandler(
                        DirectStoreAccess(peerStore, peerStore, timer, RecordingEventLog()),
                        KeyLoadTracker(timer),
                        TargetDirectory(FakeRecords, OperatorState(FakeRecords, timer, log), timer, log) { null },
                        StreamPositions(emptyList(), timer),
                        StubKeyGrantClient(releaseResult),
                        plannerEndpoint,
                    ),
                ),
            )
        val direct = DirectStoreAccess(ownStore, ownStore, timer, RecordingEventLog())
        val access = FailoverStoreAccess(direct, client, { listOf(peer, otherPeer) }, timer, log)
        val change = listOf(KeyedChange("k", "v".toByteArray()), KeyedChange("gone", null))
    }

    /** Guards against a router that misses the records of operators and targets because the store refuses it. */
    @Test
    fun `reads and appends go through another router while the store is unavailable to this one`() = runTest {
        val fixture = Fixture(VirtualTimer(testScheduler))
        fixture.ownStore.isDisconnected = true
        val appended = fixture.access.append(KeyedStream.ROUTERS, fixture.change, 0)
        expectThat(appended).isEqualTo(KeyedAppendResult.Appended(0))
        expectThat(fixture.access.append(KeyedStream.ROUTERS, fixture.change, 0)).isEqualTo(KeyedAppendResult.Conflict(2))
        val read = fixture.access.read(KeyedStream.ROUTERS, 0, 25_000) as StreamReadResult.Read
        expectThat(read.records.map { it.key to it.value?.decodeToString() }).isEqualTo(listOf("k" to "v", "gone" to null))
        expectThat((fixture.access.snapshot(KeyedStream.ROUTERS) as SnapshotResult.Snapshot).endOffset).isEqualTo(2)
        expectThat(fixture.log.count("relay_started")).isEqualTo(1)
    }

    /**
     * Guards against a router that goes on reading through others after the store is back, and keeps an old routing table when no other
     * router can read for it.
     */
    @Test
    fun `a router that only waits for records reads directly again when the store is back`() = runTest {
        val fixture = Fixture(VirtualTimer(testScheduler))
        backgroundScope.launch { fixture.direct.checkAvailability() }
        fixture.ownStore.isDisconnected = true
        repeat(2) { fixture.access.read(KeyedStream.OPERATORS, 0, 25_000) }
        expectThat(fixture.log.count("relay_started")).isEqualTo(1)
        fixture.ownStore.isDisconnected = false
        fixture.peerStore.isDisconnected = true
        testScheduler.advanceTimeBy(STORE_RETURN_NOTICED_MS)
        expectThat(fixture.access.read(KeyedStream.OPERATORS, 0, 25_000)).isA<StreamReadResult.Read>()
        expectThat(fixture.log.count("relay_ended")).isEqualTo(1)
    }

    /** Guards against a routing table that is read seconds late because a router that reads for this one has stopped answering. */
    @Test
    fun `a read through a router that does not answer ends when the store is back`() = runTest {
        val timer = VirtualTimer(testScheduler)
        val fixture = Fixture(timer)
        val silent = RelayClient(LoopbackHttpClient { awaitCancellation() })
        val access = FailoverStoreAccess(fixture.direct, silent, { listOf(fixture.peer) }, timer, fixture.log)
        backgroundScope.launch { fixture.direct.checkAvailability() }
        fixture.ownStore.isDisconnected = true
        fixture.direct.join("m", 0, 1_000)
        val read = async { access.read(KeyedStream.OPERATORS, 0, 0) }
        testScheduler.advanceTimeBy(100)
        fixture.ownStore.isDisconnected = false
        testScheduler.advanceTimeBy(STORE_RETURN_NOTICED_MS)
        expectThat(read.isCompleted).isTrue()
        read.cancel()
    }

    /** Guards against routers that multiply the calls to a store that is down for all of them. */
    @Test
    fun `fails if the store is unavailable to the other router as well`() = runTest {
        val fixture = Fixture(VirtualTimer(testScheduler))
        fixture.data.isDown = true
        expectThat(fixture.access.snapshot(KeyedStream.ROUTERS)).isA<SnapshotResult.Failed>()
        expectThat(fixture.access.append(KeyedStream.ROUTERS, fixture.change, 0)).isA<KeyedAppendResult.NotAppended>()
    }

    /** Guards against a second attempt of an append that may have been carried out. */
    @Test
    fun `an append without an answer is not repeated`() = runTest {
        val fixture = Fixture(VirtualTimer(testScheduler))
        fixture.ownStore.losesAppendAnswers = true
        expectThat(fixture.access.append(KeyedStream.ROUTERS, fixture.change, null)).isA<KeyedAppendResult.Unknown>()
        expectThat(
            fixture.data.records
                .getValue(KeyedStream.ROUTERS)
                .size,
        ).isEqualTo(2)
    }

    /** Guards against an append through a second router although the first one may have carried it out. */
    @Test
    fun `a relayed append without an answer is not repeated through a third router`() = runTest {
        val fixture = Fixture(VirtualTimer(testScheduler))
        fixture.ownStore.isDisconnected = true
        fixture.peerStore.losesAppendAnswers = true
        expectThat(fixture.access.append(KeyedStream.ROUTERS, fixture.change, null)).isA<KeyedAppendResult.Unknown>()
        expectThat(
            fixture.data.records
                .getValue(KeyedStream.ROUTERS)
                .size,
        ).isEqualTo(fixture.change.size)
    }

    /** Guards against a read that waits for its full time at a store that has stopped answering. */
    @Test
    fun `a waiting read fails if another call fails`() = runTest {
        val timer = VirtualTimer(testScheduler)
        val fixture = Fixture(timer)
        val direct = DirectStoreAccess(fixture.ownStore, fixture.ownStore, timer, RecordingEventLog())
        val read = async { direct.read(KeyedStream.ROUTERS, 0, 25_000) }
        testScheduler.advanceTimeBy(100)
        fixture.ownStore.isDisconnected = true
        direct.join("m", 0, 1_000)
        expectThat(read.await()).isA<StreamReadResult.Failed>()
        expectThat(timer.nowMs()).isLessThan(1_000)
        expectThat(direct.isAvailable).isEqualTo(false)
    }

    /** Guards against long waits while appends are slow: a read that arrives during an append misses its records until the wait ends. */
    @Test
    fun `the store counts as slow for some seconds after a slow call`() = runTest {
        val timer = VirtualTimer(testScheduler)
        val data = FakeStoreData(timer)
        val fast = FakeStore(data).let { DirectStoreAccess(it, it, timer, RecordingEventLog()) }
        val slow = FakeStore(data, callMs = 240).let { DirectStoreAccess(it, it, timer, RecordingEventLog()) }
        listOf(fast, slow).forEach { it.join("m", 0, 1_000) }
        expectThat(fast.isSlow).isEqualTo(false)
        expectThat(slow.isSlow).isTrue()
        testScheduler.advanceTimeBy(5_000)
        expectThat(slow.isSlow).isEqualTo(false)
    }

    @Nested
    @DisplayName("when a release goes through a router of the target's zone")
    inner class SameZoneReleases {
        private val target = TargetEndpoint("t", SocketAddress("10.0.0.3", 1), "z")

        private suspend fun TestScope.release(target: TargetEndpoint, result: KeyGrantResult): KeyGrantResult? {
            val fixture = Fixture(VirtualTimer(testScheduler), result)
            val sameZoneRelease = RelaySameZoneRelease(fixture.client) { zone -> if (zone == "z") listOf(fixture.peer) else emptyList() }
            return sameZoneRelease.release(target, FencedKeyRange(1, 2, 3))
        }

        /** Guards against a relayed release that loses the handover. */
        @Test
        fun `returns the handover, if there is such a router`() = runTest {
            expectThat(release(target, KeyGrantResult.Done("token"))).isEqualTo(KeyGrantResult.Done("token"))
            expectThat(release(target.copy(zone = "other"), KeyGrantResult.Done("token"))).isNull()
        }

        /** Guards against taking a path that resets connections for the end of a target that still runs requests. */
        @Test
        fun `does not take a connection that was refused there for the end of the target`() = runTest {
            expectThat(release(target, KeyGrantResult.ConnectionRefused("reset"))).isNull()
        }

        /** Guards against waiting for the grants of a target whose address another target uses already. */
        @Test
        fun `tells that another target answered there`() = runTest {
            expectThat(release(target, KeyGrantResult.OtherTarget("t9"))).isEqualTo(KeyGrantResult.OtherTarget("t9"))
        }
    }

    private companion object {
        /** Time within which a router notices that the store is back: a configuration must be in force two seconds after its release. */
        const val STORE_RETURN_NOTICED_MS = 1_500L
    }
}
