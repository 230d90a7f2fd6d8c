package yuccaflow.router.routing

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.router.RouterState
import yuccaflow.router.StateSource
import java.util.concurrent.atomic.AtomicInteger

/** Share of the router's capacity that held requests may take, so that one moving range cannot block all other requests. */
private const val HELD_SHARE = 0.5

/** Holds requests that cannot be forwarded yet until the router's state changes, and bounds their number. */
internal class HeldRequests(
    private val state: StateSource,
    private val timer: TimerService,
    capacityRequests: Int,
) {
    private val limit = (capacityRequests * HELD_SHARE).toInt().coerceAtLeast(1)
    private val held = AtomicInteger()

    /**
     * Waits for a state other than [seen], at most until the monotonic time [untilMs]. Returns false, without waiting, when too many
     * requests are held already.
     */
    suspend fun awaitChange(seen: RouterState, untilMs: Long): Boolean {
        try {
            if (held.incrementAndGet() > limit) return false
            withTimeoutOrNull(untilMs - timer.nowMs()) { state.state().first { it !== seen } }
            return true
        } finally {
            held.decrementAndGet()
        }
    }
}
