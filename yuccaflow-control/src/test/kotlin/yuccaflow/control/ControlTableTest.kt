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
    private val harness = ControlTableHarness()

    @Nested
    inner class Routers {
        @Test
        fun `a repeated registration does not revive an ended router`() {
            harness.accept(register("a"))
            harness.stop("a")
            harness.reject(register("a"), "already registered")
        }

        @Test
        fun `a lease is not ended before a majority of the witnesses have read the suspicion`() {
            val suspicion = suspectedA()
            harness.accept(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("b")))
            harness.reject(ControlRecord.LeaseEnded(RouterId("a"), suspicion), "expected a majority of the 3 witnesses")
            harness.accept(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("c")))
            harness.accept(ControlRecord.LeaseEnded(RouterId("a"), suspicion))
            expectThat(harness.table.isLive(RouterId("a"))).isEqualTo(false)
        }

        @Test
        fun `an ended witness counts as having read the suspicion`() {
            val suspicion = suspectedA()
            harness.accept(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("b")))
            harness.stop("c")
            harness.accept(ControlRecord.LeaseEnded(RouterId("a"), suspicion))
        }

        @Test
        fun `a second suspicion is void and does not restart the wait`() {
            suspectedA()
            harness.reject(ControlRecord.Suspected(RouterId("a"), RouterId("c")), "already under suspicion")
        }

        @Test
        fun `a cancelled suspicion cannot end a lease`() {
            val suspicion = suspectedA()
            harness.accept(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("b")))
            harness.accept(ControlRecord.SuspicionCancelled(RouterId("a"), suspicion))
            harness.reject(ControlRecord.SuspicionRead(RouterId("a"), suspicion, RouterId("c")), "found none")
            harness.reject(ControlRecord.LeaseEnded(RouterId("a"), suspicion), "found none")
        }

        @Test
        fun `the witnesses cannot change between a suspicion and the end of the lease`() {
            suspectedA()
            harness.reject(ControlRecord.WitnessesChanged(RouterId("a"), harness.epochOf("a"), listOf(RouterId("b"))), "under suspicion")
        }

        @Test
        fun `any live router may suspect a router whose witnesses have all ended`() {
            harness.accept(register("b"))
            harness.accept(register("a", "b"))
            harness.accept(register("c"))
            harness.reject(ControlRecord.Suspected(RouterId("a"), RouterId("c")), "no witness")
            harness.stop("b")
            val suspicion = harness.accept(ControlRecord.Suspected(RouterId("a"), RouterId("c")))
            harness.accept(ControlRecord.LeaseEnded(RouterId("a"), suspicion))
        }

        @Test
        fun `the oldest ended routers are removed so that the table stays bounded`() {
            repeat(250) {
                harness.accept(register("r$it"))
                harness.stop("r$it")
            }
            expectThat(harness.table.routers.size).isEqualTo(200)
            expectThat(harness.table.routers[RouterId("r249")]).isNotNull()
        }

        private fun suspectedA(): Long {
            listOf("b", "c", "d").forEach { harness.accept(register(it)) }
            harness.accept(register("a", "b", "c", "d"))
            return harness.accept(ControlRecord.Suspected(RouterId("a"), RouterId("b")))
        }
    }

    @Nested
    inner class Primaries {
        @Test
        fun `a target has no second primary while its primary is live`() {
            listOf("a", "b").forEach { harness.accept(register(it)) }
            val epoch = harness.accept(primary("t1", "a", NO_EPOCH, by = "b"))
            harness.reject(primary("t1", "b", NO_EPOCH, by = "b"), "expected epoch 0")
            harness.reject(primary("t1", "b", epoch, by = "b"), "only it may hand over")
            harness.accept(primary("t1", "b", epoch, by = "a"))
        }

        @Test
        fun `a router that is leaving or has ended cannot become a primary`() {
            listOf("a", "b").forEach { harness.accept(register(it)) }
            harness.accept(ControlRecord.RouterLeaving(RouterId("a")))
            harness.reject(primary("t1", "a", NO_EPOCH, by = "b"), "leaving")
            harness.accept(ControlRecord.RouterStopped(RouterId("a")))
            harness.reject(primary("t1", "a", NO_EPOCH, by = "b"), "ended")
        }

        @Test
        fun `a suspected router cannot become a primary, since its lease may end before the old grants expire`() {
            harness.accept(register("b"))
            harness.accept(register("a", "b"))
            val epoch = harness.accept(primary("t1", "b", NO_EPOCH, by = "b"))
            harness.accept(ControlRecord.Suspected(RouterId("a"), RouterId("b")))
            harness.reject(primary("t1", "a", epoch, by = "b"), "under suspicion")
            harness.reject(ControlRecord.RouterStopped(RouterId("a")), "without having announced")
        }

        @Test
        fun `any live router may replace a primary whose lease has ended`() {
            listOf("a", "b", "c").forEach { harness.accept(register(it)) }
            val epoch = harness.accept(primary("t1", "a", NO_EPOCH, by = "a"))
            harness.stop("a")
            harness.accept(primary("t1", "b", epoch, by = "c"))
        }
    }

    @Nested
    inner class Ranges {
        private val all = KeyRange("", null)

        @Test
        fun `a key never has two owners`() {
            harness.accept(assign(KeyRange("", "m"), "t1"))
            harness.reject(assign(KeyRange("l", null), "t2"), "overlaps")
            harness.reject(assign(KeyRange("a", "b"), "t2"), "overlaps")
            harness.reject(assign(KeyRange("z", "n"), "t2"), "holds no key")
            harness.accept(assign(KeyRange("m", null), "t2"))
            expectThat(harness.ownerOf("lzz")).isEqualTo("t1")
            expectThat(harness.ownerOf("m")).isEqualTo("t2")
        }

        @Test
        fun `only the primary of the owner may release a range while it is live`() {
            listOf("a", "b").forEach { harness.accept(register(it)) }
            harness.accept(primary("t1", "a", NO_EPOCH, by = "a"))
            val epoch = harness.accept(assign(all, "t1"))
            val move = harness.accept(ControlRecord.MoveStarted(SERVICE, all, epoch, TargetId("t2")))
            harness.reject(ControlRecord.RangeReleased(SERVICE, all, move, RouterId("b")), "only it may release")
            harness.reject(ControlRecord.RangeReleased(SERVICE, all, epoch, RouterId("a")), "expected move")
            val released = harness.accept(ControlRecord.RangeReleased(SERVICE, all, move, RouterId("a")))
            expectThat(harness.table.rangeOf(SERVICE, "k")).isEqualTo(RangeEntry(SERVICE, all, TargetId("t2"), released, null))
        }

        @Test
        fun `any live router may release a range when the primary of the owner has ended`() {
            listOf("a", "b").forEach { harness.accept(register(it)) }
            harness.accept(primary("t1", "a", NO_EPOCH, by = "a"))
            val epoch = harness.accept(assign(all, "t1"))
            val move = harness.accept(ControlRecord.MoveStarted(SERVICE, all, epoch, to = null))
            harness.stop("a")
            harness.accept(ControlRecord.RangeReleased(SERVICE, all, move, RouterId("b")))
            expectThat(harness.table.rangeOf(SERVICE, "k")).isNull()
        }

        @Test
        fun `a range that is being moved cannot be changed`() {
            val epoch = harness.accept(assign(all, "t1"))
            val move = harness.accept(ControlRecord.MoveStarted(SERVICE, all, epoch, TargetId("t2")))
            harness.reject(ControlRecord.MoveStarted(SERVICE, all, epoch, TargetId("t3")), "being moved")
            harness.reject(ControlRecord.RangeSplit(SERVICE, all, "k", epoch), "being moved")
            val cancelled = harness.accept(ControlRecord.MoveCancelled(SERVICE, all, move))
            harness.reject(ControlRecord.MoveStarted(SERVICE, all, epoch, TargetId("t2")), "expected epoch $epoch, found $cancelled")
        }

        @Test
        fun `splits and merges do not change the owner of any key`() {
            val epoch = harness.accept(assign(all, "t1"))
            harness.reject(ControlRecord.RangeSplit(SERVICE, all, "", epoch), "strictly inside")
            val split = harness.accept(ControlRecord.RangeSplit(SERVICE, all, "k", epoch))
            val left = KeyRange("", "k")
            val right = KeyRange("k", null)
            expectThat(harness.table.ranges(SERVICE).map { it.range }).isEqualTo(listOf(left, right))
            harness.reject(ControlRecord.RangesMerged(SERVICE, right, left, split, split), "not adjacent")
            val merged = harness.accept(ControlRecord.RangesMerged(SERVICE, left, right, split, split))
            expectThat(harness.table.ranges(SERVICE)).isEqualTo(listOf(RangeEntry(SERVICE, all, TargetId("t1"), merged, null)))
        }
    }

    @Nested
    inner class Encoding {
        @Test
        fun `unreadable records are void and do not stop a reader`() {
            expectThat(decodeControlRecord(byteArrayOf(0x7f, 0x01))).isNull()
            expectThat(decodeControlRecord(ByteArray(0))).isNull()
            expectThat(decodeConfigRecord("{\"type\":\"later-kind\"}".encodeToByteArray())).isNull()
            expectThat(harness.table.apply(1, null).voidReason).isNotNull().contains("unreadable")
            expectThat(
                harness.table
                    .apply(1, null)
                    .table.position,
            ).isEqualTo(1)
        }

        @Test
        fun `an encoded checkpoint restores the same table and configuration`() {
            listOf("b", "a").forEach { harness.accept(register(it)) }
            harness.accept(primary("t1", "a", NO_EPOCH, by = "a"))
            harness.accept(assign(KeyRange("m", null), "t2"))
            harness.accept(assign(KeyRange("", "m"), "t1"))
            val config = applyConfigRecord(ConfigState.Empty, 1, ConfigRecord.Note("n1", BASE_NOTE))
            val snapshot = snapshotOf(harness.table, config)
            val decoded = decodeControlRecord(encodeControlRecord(ControlRecord.Checkpoint(snapshot)))
            expectThat(decoded).isEqualTo(ControlRecord.Checkpoint(snapshot))
            val restored = controlTable((decoded as ControlRecord.Checkpoint).snapshot)
            expectThat(snapshotOf(restored, decoded.snapshot.config)).isEqualTo(snapshot)
            expectThat(restored.rangeOf(SERVICE, "z")?.owner).isEqualTo(TargetId("t2"))
            expectThat(harness.table.apply(harness.table.position + 1, decoded).voidReason == null).isTrue()
        }
    }
}
