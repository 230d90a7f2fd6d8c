package yuccaflow.router.ownership

import io.micrometer.core.instrument.MeterRegistry
import yuccaflow.base.TimerService
import yuccaflow.control.ControlTable
import yuccaflow.external.TargetApiClient
import yuccaflow.external.TargetHealthClient
import yuccaflow.router.admission.RunningRequests
import yuccaflow.router.membership.Membership
import yuccaflow.router.settings.RouterSettings

/** Collaborators shared by the classes of this package. */
internal class OwnershipDependencies(
    val settings: RouterSettings,
    val membership: Membership,
    val targetApi: TargetApiClient,
    val health: TargetHealthClient,
    val running: () -> RunningRequests,
    val timer: TimerService,
    val registry: MeterRegistry,
) {
    /** The control table as far as this router has read the log. */
    val table: ControlTable get() = membership.state().value.table
}

/** Suspends until the local monotonic time [atMs]; returns immediately if that time has passed. */
internal suspend fun TimerService.sleepUntil(atMs: Long) {
    val waitMs = atMs - nowMs()
    if (waitMs > 0) sleep(waitMs)
}
