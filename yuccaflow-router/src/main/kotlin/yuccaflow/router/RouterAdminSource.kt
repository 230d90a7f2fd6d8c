package yuccaflow.router

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import yuccaflow.control.LiveRouterReport
import yuccaflow.control.OwnersReport
import yuccaflow.control.RouterStage
import yuccaflow.control.StatusReport
import yuccaflow.control.TargetsReport
import yuccaflow.control.ZoneName
import yuccaflow.control.ownersReport
import yuccaflow.control.targetsReport
import yuccaflow.router.telemetry.AdminSource

/** Reports the current state of [node] to the admin server. */
internal class RouterAdminSource(
    private val node: RouterNode,
    private val registry: PrometheusMeterRegistry,
) : AdminSource {
    private val state: RouterState get() = node.membership.state().value

    override fun isReady(): Boolean = !node.isStopping && leaseRemainingMs() > 0

    override fun status(): StatusReport {
        val id = node.membership.routerId
        val table = state.table
        val config = state.config
        val live = table.routers.values
            .filter { it.stage != RouterStage.ENDED }
            .sortedBy { it.host }
        return StatusReport(
            router = id,
            host = node.settings.host,
            zone = ZoneName(node.settings.zone),
            stage = table.routers[id]
                ?.stage
                ?.name
                ?.lowercase() ?: "starting",
            leaseRemainingMs = leaseRemainingMs(),
            controlPosition = table.position,
            configPosition = config.position,
            configVersion = config.version,
            liveRouters = live.map { LiveRouterReport(it.id, it.zone, it.host, it.adminAddress, it.callerAddress) },
        )
    }

    override fun owners(): OwnersReport = state.table.ownersReport()

    override fun targets(): TargetsReport = targetsReport(state.config, state.table, node.ownership.loads())

    override fun metrics(): String = registry.scrape()

    private fun leaseRemainingMs(): Long {
        val untilMs = node.membership.leaseValidUntilMs()
        val nowMs = node.timer.nowMs()
        return if (untilMs > nowMs) untilMs - nowMs else 0
    }
}
