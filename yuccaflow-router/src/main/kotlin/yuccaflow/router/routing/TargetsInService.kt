package yuccaflow.router.routing

import yuccaflow.control.ConfigState
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetSpec

/** The targets of each service that may receive new requests. Computed once per configuration and cached. */
internal class TargetsInService {
    private class Cached(
        val config: ConfigState,
        val targets: Map<ServiceName, List<TargetSpec>>,
    )

    @Volatile private var latest = Cached(ConfigState.Empty, emptyMap())

    fun of(config: ConfigState, service: ServiceName): List<TargetSpec> {
        val current = latest.takeIf { it.config === config }
            ?: Cached(
                config,
                config.targets.values
                    .filter(config::isInService)
                    .groupBy { it.service },
            ).also { latest = it }
        return current.targets[service].orEmpty()
    }
}
