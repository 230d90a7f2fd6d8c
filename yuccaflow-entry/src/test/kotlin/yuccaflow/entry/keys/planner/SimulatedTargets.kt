package yuccaflow.entry.keys.planner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaflow.base.TimerService
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.KeyGrantClient
import yuccaflow.entry.keys.KeyGrantResult
import yuccaflow.entry.keys.TargetEndpoint
import kotlin.random.Random

/**
 * Targets that implement the grant protocol of the platform. They measure grants on slow clocks, reject lower generations, and may execute
 * calls late.
 */
internal class SimulatedTargets(
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val random: Random,
) {
    private class HeldGrant(
        val from: Int,
        val to: Int,
        val generation: Long,
        val untilMs: Long,
    )

    private class SeenGeneration(
        val from: Int,
        val to: Int,
        val generation: Long,
    )

    /** A [range] that [target] has been granted at least once. */
    private data class GrantedRange(
        val target: String,
        val range: FencedKeyRange,
    )

    inner class Incarnation(
        val entry: TargetEntry,
    ) {
        private var heldGrants = ArrayList<HeldGrant>()
        private val seenGenerations = ArrayList<SeenGeneration>()
        var isUp = true

        fun grant(range: FencedKeyRange, untilMs: Long): Boolean {
            if (seenGenerations.any { it.overlaps(range) && it.generation > range.generation }) return false
            seenGenerations += SeenGeneration(range.from, range.to, range.generation)
            removeGrants(range)
            heldGrants += HeldGrant(range.from, range.to, range.generation, untilMs)
            checkExclusive(this, range)
            checkGeneration(entry.id, range)
            return true
        }

        fun release(range: FencedKeyRange) {
            seenGenerations += SeenGeneration(range.from, range.to, range.generation)
            removeGrants(range)
        }

        /** Returns whether this incarnation has a valid grant on any key of [range]. */
        fun holds(range: FencedKeyRange): Boolean =
            isUp && heldGrants.any { it.untilMs > timer.nowMs() && it.from <= range.to && range.from <= it.to }

        private fun removeGrants(range: FencedKeyRange) {
            heldGrants = ArrayList(
                heldGrants.flatMap { grant ->
                    if (grant.to < range.from || grant.from > range.to) return@flatMap listOf(grant)
                    listOfNotNull(
                        HeldGrant(grant.from, range.from - 1, grant.generation, grant.untilMs).takeIf { it.from <= it.to },
                        HeldGrant(range.to + 1, grant.to, grant.generation, grant.untilMs).takeIf { it.from <= it.to },
                    )
                },
            )
        }

        private fun SeenGeneration.overlaps(range: FencedKeyRange) = from <= range.to && range.from <= to
    }

    val incarnations = ArrayList<Incarnation>()
    val violations = ArrayList<String>()

    private val grantedRanges = HashSet<GrantedRange>()

    /** The share of calls that get no answer. Half of these calls are executed up to [MAX_EXECUTION_DELAY_MS] after they arrived. */
    var unansweredShare = 0.0
    var grantCount = 0

    /** The ids of the targets for which each call throws an exception. */
    val throwingTargets = HashSet<String>()

    /** Whether no connection can be opened across a partition, so that calls are not sent. */
    var partitionsBlockConnecting = false

    /** Whether connections across a partition are refused, instead of calls staying unanswered. */
    var partitionsResetConnections = false

    fun start(entry: TargetEntry): Incarnation = Incarnation(entry).also { incarnations += it }

    /** Records a violation if another running incarnation holds a grant on a key of [range]. */
    private fun checkExclusive(incarnation: Incarnation, range: FencedKeyRange) {
        incarnations.filter { it !== incarnation && it.holds(range) }.forEach {
            violations += "${timer.nowMs()} ms: ${incarnation.entry.id} and ${it.entry.id} both hold keys of $range"
        }
    }

    /** Records a violation if another target has been granted a key of [range] with the same generation or a higher one. */
    private fun checkGeneration(target: String, range: FencedKeyRange) {
        if (!grantedRanges.add(GrantedRange(target, range))) return
        val others = grantedRanges.filter { it.target != target && it.range.from <= range.to && range.from <= it.range.to }
        others.filter { it.range.generation >= range.generation }.forEach {
            violations += "${timer.nowMs()} ms: $target was granted $range after ${it.target} had ${it.range}"
        }
    }

    /** Returns the client of one router. [isPartitioned] tells whether the router is cut off from the target with the given id. */
    fun grantClient(isPartitioned: (String) -> Boolean): KeyGrantClient = object : KeyGrantClient {
        override suspend fun grant(
            target: TargetEndpoint,
            range: FencedKeyRange,
            grantDurationMs: Long,
            handover: String?,
            timeoutMs: Long,
            maySend: () -> Boolean,
        ): KeyGrantResult {
            grantCount++
            return deliver(target, isPartitioned, timeoutMs) { incarnation, arrivedAtMs ->
                // The target's clock may run 2% slow, which makes its grants last longer.
                val untilMs = arrivedAtMs + (grantDurationMs * SLOW_CLOCK_FACTOR).toLong()
                if (untilMs <= timer.nowMs() || incarnation.grant(range, untilMs)) KeyGrantResult.Done(null) else KeyGrantResult.Fenced
            }
        }

        override suspend fun release(target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long): KeyGrantResult =
            deliver(target, isPartitioned, timeoutMs) { incarnation, _ ->
                incarnation.release(range)
                KeyGrantResult.Done("handover")
            }
    }

    private suspend fun deliver(
        target: TargetEndpoint,
        isPartitioned: (String) -> Boolean,
        timeoutMs: Long,
        execute: (Incarnation, Long) -> KeyGrantResult,
    ): KeyGrantResult {
        check(target.target !in throwingTargets) { "the call to ${target.target} failed" }
        delay(1)
        if (isPartitioned(target.target)) {
            if (partitionsBlockConnecting) return KeyGrantResult.NotSent("no connection").also { delay(timeoutMs) }
            if (partitionsResetConnections) return KeyGrantResult.ConnectionRefused("reset")
            delay(timeoutMs)
            return KeyGrantResult.NoAnswer("cut")
        }
        val incarnation = incarnations.lastOrNull { it.isUp && it.entry.address == target.address }
        if (incarnation == null) return KeyGrantResult.ConnectionRefused("refused")
        if (incarnation.entry.id != target.target) return KeyGrantResult.OtherTarget(incarnation.entry.id)
        if (random.nextDouble() < unansweredShare) {
            if (random.nextBoolean()) scope.launch { executeLate(incarnation, timeoutMs, execute) }
            delay(timeoutMs)
            return KeyGrantResult.NoAnswer("late")
        }
        return execute(incarnation, timer.nowMs())
    }

    /** Simulates a call that arrives at some time before the sender abandons it, and that is executed later still. */
    private suspend fun executeLate(incarnation: Incarnation, timeoutMs: Long, execute: (Incarnation, Long) -> KeyGrantResult) {
        delay(random.nextLong(timeoutMs))
        val arrivedAtMs = timer.nowMs()
        delay(random.nextLong(MAX_EXECUTION_DELAY_MS))
        if (incarnation.isUp) execute(incarnation, arrivedAtMs)
    }

    private companion object {
        const val SLOW_CLOCK_FACTOR = 1.02
        const val MAX_EXECUTION_DELAY_MS = 12_000L
    }
}
