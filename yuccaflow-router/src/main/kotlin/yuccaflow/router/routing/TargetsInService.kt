package yuccaflow.router.routing

import yuccaflow.control.ConfigState
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetSpec

/** The targets of each service that may be given new work, computed once for each configuration. */
internal class TargetsInService {
    private class Computed(
        val config: ConfigState,
        val targets: Map<ServiceName, List<TargetSpec>>,
    )

    @Volatile private var latest = Computed(ConfigState.Empty, emptyMap())

    fun of(config: ConfigState, service: ServiceName): List<TargetSpec> {
        val current = latest.takeIf { it.config === config }
            ?: Computed(
                config,
                config.targets.values
                    .filter(config::isInService)
                    .groupBy { it.service },
            ).also { latest = it }
        return current.targets[service].orEmpty()
    }
}
