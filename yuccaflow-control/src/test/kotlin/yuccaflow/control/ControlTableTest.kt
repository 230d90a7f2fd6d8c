package yuccaflow.control

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class ControlTableTest {
    private val log = TableScript()

    @Nested
    inner class Routers {
        @Test
        fun `guards against a repeated registration that revives an ended router`() {
            log.accept(register("a"))
            log.stop("a")
            log.reject(register("a"), "already registered")
        }

        @Test
        fun `guards against ending a lease before a majority of witnesses read the suspicion`() {
            val suspicion = suspectedA()
            log.accept(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("b")))
            log.reject(ControlRecord.LeaseEnded(RouterId("a"), suspicion), "expected a majority of the 3 witnesses")
            log.accept(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("c")))
            log.accept(ControlRecord.LeaseEnded(RouterId("a"), suspicion))
            expectThat(log.table.isLive(RouterId("a"))).isEqualTo(false)
        }

        @Test
        fun `counts an ended witness as one that has read the suspicion`() {
            val suspicion = suspectedA()
            log.accept(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("b")))
            log.stop("c")
            log.accept(ControlRecord.LeaseEnded(RouterId("a"), suspicion))
        }

        @Test
        fun `guards against a second suspicion that restarts the wait`() {
            suspectedA()
            log.reject(ControlRecord.Suspected(RouterId("a"), RouterId("c")), "already under suspicion")
        }

        @Test
        fun `guards against ending a lease on a cancelled suspicion`() {
            val suspicion = suspectedA()
            log.accept(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("b")))
            log.accept(ControlRecord.SuspicionCancelled(RouterId("a"), suspicion))
            log.reject(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("c")), "found none")
            log.reject(ControlRecord.LeaseEnded(RouterId("a"), suspicion), "found none")
        }

        @Test
        fun `guards against a change of witnesses between the suspicion and the end of the lease`() {
            suspectedA()
            log.reject(ControlRecord.WitnessesChanged(RouterId("a"), log.epochOf("a"), listOf(RouterId("b"))), "under suspicion")
        }

        @Test
        fun `lets any live router suspect a router whose witnesses have all ended`() {
            log.accept(register("b"))
            log.accept(register("a", "b"))
            log.accept(register("c"))
            log.reject(ControlRecord.Suspected(RouterId("a"), RouterId("c")), "no witness")
            log.stop("b")
            val suspicion = log.accept(ControlRecord.Suspected(RouterId("a"), RouterId("c")))
            log.accept(ControlRecord.LeaseEnded(RouterId("a"), suspicion))
        }

        @Test
        fun `forgets the oldest ended routers so that the table stays bounded`() {
            repeat(250) {
                log.accept(register("r$it"))
                log.stop("r$it")
            }
            expectThat(log.table.routers.size).isEqualTo(200)
            expectThat(log.table.routers[RouterId("r249")]).isNotNull()
        }

        private fun suspectedA(): Long {
            listOf("b", "c", "d").forEach { log.accept(register(it)) }
            log.accept(register("a", "b", "c", "d"))
            return log.accept(ControlRecord.Suspected(RouterId("a"), RouterId("b")))
        }
    }

    @Nested
    inner class Primaries {
        @Test
        fun `guards against a second live primary`() {
            listOf("a", "b").forEach { log.accept(register(it)) }
            val epoch = log.accept(primary("t1", "a", NO_EPOCH, by = "b"))
            log.reject(primary("t1", "b", NO_EPOCH, by = "b"), "expected epoch 0")
            log.reject(primary("t1", "b", epoch, by = "b"), "only it may hand over")
            log.accept(primary("t1", "b", epoch, by = "a"))
        }

        @Test
        fun `guards against a primary that is leaving or has ended`() {
            listOf("a", "b").forEach { log.accept(register(it)) }
            log.accept(ControlRecord.RouterLeaving(RouterId("a")))
            log.reject(primary("t1", "a", NO_EPOCH, by = "b"), "leaving")
            log.accept(ControlRecord.RouterStopped(RouterId("a")))
            log.reject(primary("t1", "a", NO_EPOCH, by = "b"), "ended")
        }

        @Test
        fun `guards against a handover to a router that may be ended before the old grants expire`() {
            log.accept(register("b"))
            log.accept(register("a", "b"))
            val epoch = log.accept(primary("t1", "b", NO_EPOCH, by = "b"))
            log.accept(ControlRecord.Suspected(RouterId("a"), RouterId("b")))
            log.reject(primary("t1", "a", epoch, by = "b"), "under suspicion")
            log.reject(ControlRecord.RouterStopped(RouterId("a")), "without having announced")
        }

        @Test
        fun `lets any live router replace a primary whose lease has ended`() {
            listOf("a", "b", "c").forEach { log.accept(register(it)) }
            val epoch = log.accept(primary("t1", "a", NO_EPOCH, by = "a"))
            log.stop("a")
            log.accept(primary("t1", "b", epoch, by = "c"))
        }
    }

    @Nested
    inner class Ranges {
        private val all = KeyRange("", null)

        @Test
        fun `guards against two owners of a key`() {
            log.accept(assign(KeyRange("", "m"), "t1"))
            log.reject(assign(KeyRange("l", null), "t2"), "overlaps")
            log.reject(assign(KeyRange("a", "b"), "t2"), "overlaps")
            log.reject(assign(KeyRange("z", "n"), "t2"), "holds no key")
            log.accept(assign(KeyRange("m", null), "t2"))
            expectThat(log.ownerOf("lzz")).isEqualTo("t1")
            expectThat(log.ownerOf("m")).isEqualTo("t2")
        }

        @Test
        fun `guards against a release by a router that is not the live primary of the owner`() {
            listOf("a", "b").forEach { log.accept(register(it)) }
            log.accept(primary("t1", "a", NO_EPOCH, by = "a"))
            val epoch = log.accept(assign(all, "t1"))
            val move = log.accept(ControlRecord.MoveStarted(SERVICE, all, epoch, TargetId("t2")))
            log.reject(ControlRecord.RangeReleased(SERVICE, all, move, RouterId("b")), "only it may release")
            log.reject(ControlRecord.RangeReleased(SERVICE, all, epoch, RouterId("a")), "expected move")
            val released = log.accept(ControlRecord.RangeReleased(SERVICE, all, move, RouterId("a")))
            expectThat(log.table.rangeOf(SERVICE, "k")).isEqualTo(RangeEntry(SERVICE, all, TargetId("t2"), released, null))
        }

        @Test
        fun `lets any live router release when the primary of the owner has ended`() {
            listOf("a", "b").forEach { log.accept(register(it)) }
            log.accept(primary("t1", "a", NO_EPOCH, by = "a"))
            val epoch = log.accept(assign(all, "t1"))
            val move = log.accept(ControlRecord.MoveStarted(SERVICE, all, epoch, to = null))
            log.stop("a")
            log.accept(ControlRecord.RangeReleased(SERVICE, all, move, RouterId("b")))
            expectThat(log.table.rangeOf(SERVICE, "k")).isNull()
        }

        @Test
        fun `guards against changes of a range that is being moved`() {
            val epoch = log.accept(assign(all, "t1"))
            val move = log.accept(ControlRecord.MoveStarted(SERVICE, all, epoch, TargetId("t2")))
            log.reject(ControlRecord.MoveStarted(SERVICE, all, epoch, TargetId("t3")), "being moved")
            log.reject(ControlRecord.RangeSplit(SERVICE, all, "k", epoch), "being moved")
            val cancelled = log.accept(ControlRecord.MoveCancelled(SERVICE, all, move))
            log.reject(ControlRecord.MoveStarted(SERVICE, all, epoch, TargetId("t2")), "expected epoch $epoch, found $cancelled")
        }

        @Test
        fun `splits and merges without changing the owner of any key`() {
            val epoch = log.accept(assign(all, "t1"))
            log.reject(ControlRecord.RangeSplit(SERVICE, all, "", epoch), "strictly inside")
            val split = log.accept(ControlRecord.RangeSplit(SERVICE, all, "k", epoch))
            val left = KeyRange("", "k")
            val right = KeyRange("k", null)
            expectThat(log.table.ranges(SERVICE).map { it.range }).isEqualTo(listOf(left, right))
            log.reject(ControlRecord.RangesMerged(SERVICE, right, left, split, split), "not adjacent")
            val merged = log.accept(ControlRecord.RangesMerged(SERVICE, left, right, split, split))
            expectThat(log.table.ranges(SERVICE)).isEqualTo(listOf(RangeEntry(SERVICE, all, TargetId("t1"), merged, null)))
        }
    }

    @Nested
    inner class Encoding {
        @Test
        fun `guards against unreadable records that stop a reader`() {
            expectThat(decodeControlRecord(byteArrayOf(0x7f, 0x01))).isNull()
            expectThat(decodeControlRecord(ByteArray(0))).isNull()
            expectThat(decodeConfigRecord("{\"type\":\"later-kind\"}".encodeToByteArray())).isNull()
            expectThat(log.table.apply(1, null).voidReason).isNotNull().contains("unreadable")
            expectThat(
                log.table
                    .apply(1, null)
                    .table.position,
            ).isEqualTo(1)
        }

        @Test
        fun `restores the same table and configuration from an encoded checkpoint`() {
            listOf("b", "a").forEach { log.accept(register(it)) }
            log.accept(primary("t1", "a", NO_EPOCH, by = "a"))
            log.accept(assign(KeyRange("m", null), "t2"))
            log.accept(assign(KeyRange("", "m"), "t1"))
            val config = applyConfigRecord(ConfigState.Empty, 1, ConfigRecord.Note("n1", BASE_NOTE))
            val snapshot = snapshotOf(log.table, config)
            val decoded = decodeControlRecord(encodeControlRecord(ControlRecord.Checkpoint(snapshot)))
            expectThat(decoded).isEqualTo(ControlRecord.Checkpoint(snapshot))
            val restored = controlTable((decoded as ControlRecord.Checkpoint).snapshot)
            expectThat(snapshotOf(restored, decoded.snapshot.config)).isEqualTo(snapshot)
            expectThat(restored.rangeOf(SERVICE, "z")?.owner).isEqualTo(TargetId("t2"))
            expectThat(log.table.apply(log.table.position + 1, decoded).voidReason == null).isTrue()
        }
    }
}
