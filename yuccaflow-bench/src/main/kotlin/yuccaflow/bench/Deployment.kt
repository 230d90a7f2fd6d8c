package yuccaflow.bench

/** A service of a deployment with its back ends. */
internal data class ServicePlan(
    val name: String,
    val targets: Int,
    val runLimitMs: Long,
    /** Number of ranges declared in the note; 0 when the service is not divided by key. */
    val ranges: Int = 0,
    /** Share of requests, and the share among them that is posted. */
    val weight: Double,
    val postedShare: Double = 0.0,
    val meanMs: Double,
) {
    val isDivided: Boolean get() = ranges > 0
}

/** One back end as the note and the stand-in know it. */
internal data class TargetPlan(
    val name: String,
    val service: ServicePlan,
    val zone: String,
    val slots: Int,
    val checksFences: Boolean,
)

/** One of the two organisations at its present size (docs/design.md, 1.5). */
internal data class Deployment(
    val name: String,
    val region: String,
    val zones: List<String>,
    /** Zone that the yearly drill takes out. */
    val drillZone: String,
    val zoneDelayUs: Long,
    val callerDelayUs: Long,
    val slots: Int,
    val connections: Int,
    val services: List<ServicePlan>,
    /** Of so many targets of a service, one does not check fences. */
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

        /** The deployment called [name]. */
        fun named(name: String): Deployment = listOf(Harpes, Planwerk).firstOrNull { it.name == name }
            ?: throw IllegalArgumentException("expected harpes or planwerk, found \"$name\"")
    }
}
