package yuccaflow.entry.balance

import yuccaflow.entry.config.OperatorState
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.fake.ManualTimer
import yuccaflow.entry.fake.RecordingEventLog
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** What the routers and the target that starts late have seen from its start to the end of the simulation. */
internal data class RampUpFigures(
    val refusedByTarget: Int,
    val refusedByRouters: Int,
    val lateResponses: Int,
    val fullShareAfterMs: Long?,
)

/**
 * Several routers that send requests to three targets, and to a fourth that starts at [START_MS], in virtual time without a network.
 *
 * Each target processes [SLOTS] requests at a time and queues [QUEUE_LIMIT] more. The fourth takes [slowFactor] times as long during its
 * first [slowMs]. All routers together send [REQUESTS_PER_S], which three targets can just serve.
 */
internal class RampUpSimulation(
    private val hasLoadControl: Boolean,
    private val slowFactor: Double,
    private val slowMs: Long,
    private val routerCount: Int,
    seed: Int,
) {
    private class Event(
        val atMs: Long,
        val number: Int,
        val action: () -> Unit,
    )

    private val timer = ManualTimer()
    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.number })
    private val targets = (1..TARGETS).associate { "t$it" to Target(startsLate = it == TARGETS) }
    private var eventCount = 0
    private var refusedByTarget = 0
    private var refusedByRouters = 0
    private var lateResponses = 0
    private val responseTimesMs = ArrayList<Long>()

    private fun at(atMs: Long, action: () -> Unit) {
        events += Event(atMs, eventCount++, action)
    }

    private inner class Target(
        val startsLate: Boolean,
    ) {
        private var running = 0
        private val queue = ArrayDeque<() -> Unit>()

        fun load() = LoadReport(running, queue.size, SLOTS, null)

        /** Calls [onEnd] with whether the request was served. */
        fun receive(onEnd: (Boolean) -> Unit) {
            when {
                running < SLOTS -> process(onEnd)
                queue.size < QUEUE_LIMIT -> queue += { process(onEnd) }
                else -> onEnd(false)
            }
        }

        private fun process(onEnd: (Boolean) -> Unit) {
            running++
            val isSlow = startsLate && timer.now < START_MS + slowMs
            val serviceMs = SERVICE_MS * random.nextDouble(0.5, 1.5) * (if (isSlow) slowFactor else 1.0)
            at(timer.now + serviceMs.toLong()) {
                running--
                onEnd(true)
                queue.removeFirstOrNull()?.invoke()
            }
        }
    }

    private inner class Router(
        name: String,
    ) {
        private val log = RecordingEventLog()
        private val operators = OperatorState(LoadControlDecoder, timer, log)
        private val directory = TargetDirectory(LoadControlDecoder, operators, timer, log) { null }
        private val limiter = ColdStartLimiter(name, ColdStartLimits(1.5, 5.0), operators) { emptySet() }
        private val chooser = TargetChooser(directory, "a", timer, limiter)

        init {
            operators.onRecords(listOf(LoadControlDecoder.tableRecord(hasLoadControl)), 1)
            (1 until TARGETS).forEach(::write)
            at(START_MS + random.nextLong(MAX_READ_DELAY_MS)) { write(TARGETS) }
            at(nextArrivalMs(), ::arrive)
        }

        private fun write(number: Int) {
            val entry = FakeRecords.entry("t$number", number, service = "s").copy(slots = SLOTS)
            directory.onRecords(listOf(FakeRecords.targetRecord(entry, 0)), 1)
            directory.find(entry.id)!!.update(entry, timer.now, null)
        }

        private fun nextArrivalMs() = timer.now + (-ln(1 - random.nextDouble()) * 1_000 * routerCount / REQUESTS_PER_S).toLong()

        private fun arrive() {
            at(nextArrivalMs(), ::arrive)
            val context = ChoiceContext(LoadControlDecoder.ROUTE, FakeRecords.serviceConfig("s"), emptySet(), DEADLINE_MS)
            when (val choice = chooser.choose(context)) {
                is TargetChoice.None -> if (timer.now >= START_MS) refusedByRouters++
                is TargetChoice.Chosen -> send(choice.target)
            }
        }

        private fun send(state: TargetState) {
            val target = targets.getValue(state.entry.id)
            val sentAtMs = timer.now
            state.requestStarted()
            val occupancy = state.occupancy(sentAtMs)
            target.receive { isServed ->
                state.requestEnded()
                state.recordLoad(target.load(), timer.now)
                if (isServed) {
                    state.recordResponse(timer.now - sentAtMs, occupancy)
                    state.recordSuccess(timer.now)
                } else {
                    state.recordRefusal()
                    state.recordFailure(timer.now, isUnreachable = false)
                }
                if (target.startsLate) count(isServed, timer.now - sentAtMs)
            }
        }
    }

    private fun count(isServed: Boolean, elapsedMs: Long) {
        if (!isServed) refusedByTarget++ else responseTimesMs += timer.now
        if (isServed && elapsedMs > DEADLINE_MS) lateResponses++
    }

    fun run(): RampUpFigures {
        repeat(routerCount) { Router("r$it") }
        while (events.peek().atMs < END_MS) {
            val event = events.poll()
            timer.now = event.atMs
            event.action()
        }
        val needed = (REQUESTS_PER_S / TARGETS * FULL_SHARE).toInt()
        val fullShareAtMs = (START_MS..END_MS - WINDOW_MS step STEP_MS).firstOrNull { from ->
            responseTimesMs.count { it in from until from + WINDOW_MS } >= needed
        }
        return RampUpFigures(refusedByTarget, refusedByRouters, lateResponses, fullShareAtMs?.let { it - START_MS })
    }

    internal companion object {
        const val TARGETS = 4
        const val SLOTS = 8
        const val QUEUE_LIMIT = 20
        const val SERVICE_MS = 100.0
        const val REQUESTS_PER_S = 200.0
        const val DEADLINE_MS = 1_000L
        const val START_MS = 10_000L
        const val END_MS = 25_000L
        const val MAX_READ_DELAY_MS = 400L

        /** The target carries its full share from the first window of a second in which it serves nearly a fourth of the requests. */
        const val WINDOW_MS = 1_000L
        const val STEP_MS = 100L
        const val FULL_SHARE = 0.9
    }
}
