package yuccaflow.router.admission

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import yuccaflow.base.TimerService
import yuccaflow.external.TargetApiClient
import yuccaflow.router.StateSource
import yuccaflow.router.ownership.TargetObserver
import yuccaflow.router.ownership.WorkAuthority
import yuccaflow.router.peer.PeerMessage
import yuccaflow.router.telemetry.RouterTracing

/** The primary's side of the request path: admits requests by the slots and the queue of their target and by deadline, and sends them. */
interface TargetGateway : RunningRequests {
    /**
     * Runs one request at its target, or reports that it has not run. Cancellation removes the request from the queue and, if it is
     * idempotent, also cancels it at the target. A non-idempotent request that was already sent keeps running, since its outcome is
     * remembered for repeats.
     */
    suspend fun submit(request: PeerMessage.ForwardRequest): PeerMessage.ForwardAnswer
}

/** Creates the gateway of a router. It only sends what [authority] permits, and reports the answers of targets to [observer]. */
fun targetGateway(
    state: StateSource,
    authority: WorkAuthority,
    observer: TargetObserver,
    orders: TargetApiClient,
    timer: TimerService,
    registry: MeterRegistry,
    tracing: RouterTracing,
): TargetGateway {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    return SlotTargetGateway(state, authority, WorkSender(orders, observer, timer), timer, registry, tracing, scope)
}
