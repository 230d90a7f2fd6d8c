package yuccaflow.entry.keys

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaflow.base.TimerService
import yuccaflow.entry.directory.TargetEntry
import kotlin.random.Random

/** Targets as the users' platform describes them: they hold granted keys on slow clocks, refuse lower generations, and may be late. */
internal class HoldingTargets(
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val random: Random,
) {
    private class Hold(
        val from: Int,
        val to: Int,
        val generation: Long,
        val untilMs: Long,
    )

    private class Seen(
        val from: Int,
        val to: Int,
        val generation: Long,
    )

    inner class Life(
        val entry: TargetEntry,
    ) {
        private var holds = ArrayList<Hold>()
        private val seen = ArrayList<Seen>()
        var isUp = true

        fun grant(range: FencedKeyRange, untilMs: Long): Boolean {
            if (seen.any { it.overlaps(range) && it.generation > range.generation }) return false
            seen += Seen(range.from, range.to, range.generation)
            drop(range)
            holds += Hold(range.from, range.to, range.generation, untilMs)
            check(this, range)
            return true
        }

        fun release(range: FencedKeyRange) {
            seen += Seen(range.from, range.to, range.generation)
            drop(range)
        }

        /** Whether this life holds a key of the range now. */
        fun holds(range: FencedKeyRange): Boolean =
            isUp && holds.any { it.untilMs > timer.nowMs() && it.from <= range.to && range.from <= it.to }

        private fun drop(range: FencedKeyRange) {
            holds = ArrayList(
                holds.flatMap { hold ->
                    if (hold.to < range.from || hold.from > range.to) return@flatMap listOf(hold)
                    listOfNotNull(
                        Hold(hold.from, range.from - 1, hold.generation, hold.untilMs).takeIf { it.from <= it.to },
                        Hold(range.to + 1, hold.to, hold.generation, hold.untilMs).takeIf { it.from <= it.to },
                    )
                },
            )
        }

        private fun Seen.overlaps(range: FencedKeyRange) = from <= range.to && range.from <= to
    }

    val lives = ArrayList<Life>()
    val violations = ArrayList<String>()

    /** Part of the orders that get no answer; half of these are carried out seconds later. */
    var lateShare = 0.0
    var grants = 0

    /** Whether no connection can be opened across a cut, so that orders do not leave. */
    var cutsKeepOrders = false

    /** Whether a cut refuses connections instead of swallowing them. */
    var cutsReset = false

    fun start(entry: TargetEntry): Life = Life(entry).also { lives += it }

    /** Notes a violation when another life that is up holds a key of [range], or was granted it with a generation that is not lower. */
    private fun check(life: Life, range: FencedKeyRange) {
        lives.filter { it !== life && it.holds(range) }.forEach {
            violations += "${timer.nowMs()} ms: ${life.entry.id} and ${it.entry.id} both hold keys of $range"
        }
    }

    /** The orders of one router, which [isCut] may keep from a target. */
    fun orders(isCut: (String) -> Boolean): KeyGrantClient = object : KeyGrantClient {
        override suspend fun grant(
            target: TargetEndpoint,
            range: FencedKeyRange,
            grantDurationMs: Long,
            handover: String?,
            timeoutMs: Long,
            maySend: () -> Boolean,
        ): KeyGrantResult {
            grants++
            return deliver(target, isCut, timeoutMs) { life, arrivedAtMs ->
                // The target's clock may run 2% slow.
                val untilMs = arrivedAtMs + (grantDurationMs * SLOW_CLOCK).toLong()
                if (untilMs <= timer.nowMs() || life.grant(range, untilMs)) KeyGrantResult.Done(null) else KeyGrantResult.Fenced
            }
        }

        override suspend fun release(target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long): KeyGrantResult =
            deliver(target, isCut, timeoutMs) { life, _ ->
                life.release(range)
                KeyGrantResult.Done("handover")
            }
    }

    private suspend fun deliver(
        target: TargetEndpoint,
        isCut: (String) -> Boolean,
        timeoutMs: Long,
        carryOut: (Life, Long) -> KeyGrantResult,
    ): KeyGrantResult {
        delay(1)
        if (isCut(target.target)) {
            if (cutsKeepOrders) return KeyGrantResult.NotSent("no connection").also { delay(timeoutMs) }
            if (cutsReset) return KeyGrantResult.ConnectionRefused("reset")
            delay(timeoutMs)
            return KeyGrantResult.NoAnswer("cut")
        }
        val life = lives.lastOrNull { it.isUp && it.entry.address == target.address }
        if (life == null) return KeyGrantResult.ConnectionRefused("refused")
        if (life.entry.id != target.target) return KeyGrantResult.OtherTarget(life.entry.id)
        if (random.nextDouble() < lateShare) {
            if (random.nextBoolean()) scope.launch { carryOutLate(life, timeoutMs, carryOut) }
            delay(timeoutMs)
            return KeyGrantResult.NoAnswer("late")
        }
        return carryOut(life, timer.nowMs())
    }

    /** The order arrives at any time until the sender gives it up, and is carried out any time later. */
    private suspend fun carryOutLate(life: Life, timeoutMs: Long, carryOut: (Life, Long) -> KeyGrantResult) {
        delay(random.nextLong(timeoutMs))
        val arrivedAtMs = timer.nowMs()
        delay(random.nextLong(LATEST_MS))
        if (life.isUp) carryOut(life, arrivedAtMs)
    }

    private companion object {
        const val SLOW_CLOCK = 1.02
        const val LATEST_MS = 12_000L
    }
}
