package yuccaflow.router.ownership

import io.micrometer.core.instrument.MeterRegistry
import yuccaflow.base.TimerService
import yuccaflow.control.ControlTable
import yuccaflow.external.TargetHealth
import yuccaflow.external.TargetOrders
import yuccaflow.router.admission.RunningRequests
import yuccaflow.router.membership.Membership
import yuccaflow.router.settings.RouterSettings

/** The parts that all classes of this package work with. */
internal class OwnershipDependencies(
    val settings: RouterSettings,
    val membership: Membership,
    val orders: TargetOrders,
    val health: TargetHealth,
    val running: () -> RunningRequests,
    val timer: TimerService,
    val registry: MeterRegistry,
) {
    /** The control table as this router has read it. */
    val table: ControlTable get() = membership.state().value.table
}

/** Suspends until local monotonic time [atMs]. */
internal suspend fun TimerService.sleepUntil(atMs: Long) {
    val waitMs = atMs - nowMs()
    if (waitMs > 0) sleep(waitMs)
}
