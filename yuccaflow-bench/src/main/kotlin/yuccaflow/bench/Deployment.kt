package yuccaflow.bench

/** A service of a deployment and the load on it. */
internal data class ServicePlan(
    val name: String,
    val targets: Int,
    val runLimitMs: Long,
    /** Number of key ranges declared in the release note; 0 when the service is not sharded by key. */
    val ranges: Int = 0,
    /** Relative share of the requests of the deployment. */
    val weight: Double,
    /** Share of POST requests among the requests of the service. */
    val postedShare: Double = 0.0,
    val meanMs: Double,
) {
    val isKeyed: Boolean get() = ranges > 0
}

/** A target, as described to the release note and the stand-in. */
internal data class TargetPlan(
    val name: String,
    val service: ServicePlan,
    val zone: String,
    val slots: Int,
    val checksFences: Boolean,
)

/** A sample deployment, sized like one of the two organisations in section 1.5 of docs/design.md. */
internal data class Deployment(
    val name: String,
    val region: String,
    val zones: List<String>,
    /** Zone that the yearly evacuation drill takes out of service. */
    val drillZone: String,
    val zoneDelayUs: Long,
    val callerDelayUs: Long,
    val slots: Int,
    val connections: Int,
    val services: List<ServicePlan>,
    /** One in so many targets of a service does not check fencing tokens. */
    val unfencedEvery: Int = 5,
) {
    /** All targets, spread evenly over the zones. */
    val targets: List<TargetPlan> = services.flatMapIndexed { serviceIndex, service ->
        (0 until service.targets).map { index ->
            TargetPlan(
                name = "%s-%02d".format(service.name, index + 1),
                service = service,
                zone = zones[(index + serviceIndex) % zones.size],
                slots = slots,
                checksFences = index % unfencedEvery != unfencedEvery - 1,
            )
        }
    }

    companion object {
        val Harpes = Deployment(
            name = "harpes",
            region = "breizh",
            zones = listOf("brest", "rennes", "vannes"),
            drillZone = "vannes",
            zoneDelayUs = 1_000,
            callerDelayUs = 3_000,
            slots = 5,
            connections = 100,
            services = listOf(
                ServicePlan("katalog", targets = 10, runLimitMs = 400, ranges = 20, weight = 5.0, meanMs = 4.0),
                ServicePlan("prest", targets = 5, runLimitMs = 2_000, weight = 2.0, postedShare = 0.5, meanMs = 8.0),
                ServicePlan("roll", targets = 10, runLimitMs = 1_000, weight = 3.0, meanMs = 4.0),
            ),
        )

        val Planwerk = Deployment(
            name = "planwerk",
            region = "at-east",
            zones = listOf("at-east-a", "at-east-b", "at-east-c"),
            drillZone = "at-east-c",
            zoneDelayUs = 1_500,
            callerDelayUs = 3_000,
            slots = 4,
            connections = 50,
            services = listOf(
                ServicePlan("fahrplan", targets = 15, runLimitMs = 1_000, weight = 5.0, meanMs = 4.0),
                ServicePlan("disposition", targets = 5, runLimitMs = 3_000, weight = 1.0, postedShare = 0.5, meanMs = 8.0),
                ServicePlan("haltestellen", targets = 15, runLimitMs = 400, ranges = 30, weight = 4.0, meanMs = 4.0),
            ),
        )

        /** Returns the deployment with this name; throws [IllegalArgumentException] when there is none. */
        fun named(name: String): Deployment = listOf(Harpes, Planwerk).firstOrNull { it.name == name }
            ?: throw IllegalArgumentException("expected the deployment harpes or planwerk, found \"$name\"")
    }
}
