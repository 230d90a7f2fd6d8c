package yuccaflow.entry.peer

import kotlinx.coroutines.async
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import yuccaflow.base.TimerService
import yuccaflow.entry.fake.FakeStore
import yuccaflow.entry.fake.FakeStoreData
import yuccaflow.entry.fake.LoopbackHttpClient
import yuccaflow.entry.fake.RecordingEventLog
import yuccaflow.entry.fake.StubKeyGrantClient
import yuccaflow.entry.fake.VirtualTimer
import yuccaflow.entry.keys.ClusterState
import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.KeyGrantResult
import yuccaflow.entry.keys.KeyLoadTracker
import yuccaflow.entry.keys.KeyOwnershipSettings
import yuccaflow.entry.keys.PlannerAuthority
import yuccaflow.entry.keys.TargetEndpoint
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.http.SocketAddress

@DisplayName("The way to the store through another router")
class FailoverStoreAccessTest {
    private inner class World(
        timer: TimerService,
    ) {
        val data = FakeStoreData(timer)
        val ownStore = FakeStore(data)
        val peerStore = FakeStore(data)
        val log = RecordingEventLog()
        val peer = SocketAddress("10.0.0.2", 1)
        private val otherPeer = SocketAddress("10.0.0.4", 1)
        private val records = ClusterState(timer, log)
        private val authority = PlannerAuthority("peer", "life", records, timer, timer::nowMs, KeyOwnershipSettings(), log) { null }
        private val feed = PlannerEndpoint(authority, records, timer)
        val client =
            RelayClient(
                LoopbackHttpClient(
                    relayHandler(DirectStoreAccess(peerStore, peerStore, timer), KeyLoadTracker(timer), StubKeyGrantClient, feed),
                ),
            )
        val access = FailoverStoreAccess(DirectStoreAccess(ownStore, ownStore, timer), client, { listOf(peer, otherPeer) }, timer, log)
        val change = listOf(KeyedChange("k", "v".toByteArray()), KeyedChange("gone", null))
    }

    /** Guards against a router that the store turns away and that misses what operators and targets write. */
    @Test
    fun `reads and appends go through another router while the store turns this one away`() = runTest {
        val world = World(VirtualTimer(testScheduler))
        world.ownStore.isDisconnected = true
        val appended = world.access.append(KeyedStream.ROUTERS, world.change, 0)
        expectThat(appended).isEqualTo(KeyedAppendResult.Appended(0))
        expectThat(world.access.append(KeyedStream.ROUTERS, world.change, 0)).isEqualTo(KeyedAppendResult.Conflict(2))
        val read = world.access.read(KeyedStream.ROUTERS, 0, 25_000) as StreamReadResult.Read
        expectThat(read.records.map { it.key to it.value?.decodeToString() }).isEqualTo(listOf("k" to "v", "gone" to null))
        expectThat((world.access.snapshot(KeyedStream.ROUTERS) as SnapshotResult.Snapshot).endOffset).isEqualTo(2)
        expectThat(world.log.count("relay_started")).isEqualTo(1)
    }

    /** Guards against calls to a store that is down for all, which each router would multiply. */
    @Test
    fun `fails when the other router is not served either`() = runTest {
        val world = World(VirtualTimer(testScheduler))
        world.data.isDown = true
        expectThat(world.access.snapshot(KeyedStream.ROUTERS)).isA<SnapshotResult.Failed>()
        expectThat(world.access.append(KeyedStream.ROUTERS, world.change, 0)).isA<KeyedAppendResult.NotAppended>()
    }

    /** Guards against an append that may have been carried out and is sent a second time. */
    @Test
    fun `an append without an answer is not sent again`() = runTest {
        val world = World(VirtualTimer(testScheduler))
        world.ownStore.losesAppendAnswers = true
        expectThat(world.access.append(KeyedStream.ROUTERS, world.change, null)).isA<KeyedAppendResult.Unknown>()
        expectThat(
            world.data.records
                .getValue(KeyedStream.ROUTERS)
                .size,
        ).isEqualTo(2)
    }

    /** Guards against an append that one router may have carried out and that is sent through another one as well. */
    @Test
    fun `an append through another router without an answer is not sent through a third one`() = runTest {
        val world = World(VirtualTimer(testScheduler))
        world.ownStore.isDisconnected = true
        world.peerStore.losesAppendAnswers = true
        expectThat(world.access.append(KeyedStream.ROUTERS, world.change, null)).isA<KeyedAppendResult.Unknown>()
        expectThat(
            world.data.records
                .getValue(KeyedStream.ROUTERS)
                .size,
        ).isEqualTo(world.change.size)
    }

    /** Guards against a read that waits for its full time at a store that has fallen silent. */
    @Test
    fun `a waiting read ends when another call fails`() = runTest {
        val timer = VirtualTimer(testScheduler)
        val world = World(timer)
        val direct = DirectStoreAccess(world.ownStore, world.ownStore, timer)
        val read = async { direct.read(KeyedStream.ROUTERS, 0, 25_000) }
        testScheduler.advanceTimeBy(100)
        world.ownStore.isDisconnected = true
        direct.join("m", 0, 1_000)
        expectThat(read.await()).isA<StreamReadResult.Failed>()
        expectThat(timer.nowMs()).isLessThan(1_000)
        expectThat(direct.isServed).isEqualTo(false)
    }

    /** Guards against long waits while appends take long: a read that arrives during one misses its records until the wait ends. */
    @Test
    fun `a slow call shows that the store is slow, for some seconds`() = runTest {
        val timer = VirtualTimer(testScheduler)
        val data = FakeStoreData(timer)
        val quick = FakeStore(data).let { DirectStoreAccess(it, it, timer) }
        val slow = FakeStore(data, callMs = 240).let { DirectStoreAccess(it, it, timer) }
        listOf(quick, slow).forEach { it.join("m", 0, 1_000) }
        expectThat(quick.isSlow).isEqualTo(false)
        expectThat(slow.isSlow).isTrue()
        testScheduler.advanceTimeBy(5_000)
        expectThat(slow.isSlow).isEqualTo(false)
    }

    /** Guards against a release through another router that loses the handover. */
    @Test
    fun `a release goes through a router of the target's zone`() = runTest {
        val world = World(VirtualTimer(testScheduler))
        val near = RelaySameZoneRelease(world.client) { zone -> if (zone == "z") listOf(world.peer) else emptyList() }
        val target = TargetEndpoint("t", SocketAddress("10.0.0.3", 1), "z")
        expectThat(near.release(target, FencedKeyRange(1, 2, 3))).isEqualTo(KeyGrantResult.Done("token"))
        expectThat(near.release(target.copy(zone = "other"), FencedKeyRange(1, 2, 3)) == null).isTrue()
    }
}
