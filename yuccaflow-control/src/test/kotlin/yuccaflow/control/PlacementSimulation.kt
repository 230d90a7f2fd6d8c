package yuccaflow.control

/** Period of the planners' decisions. */
private const val STEP_MS = 250L

/** Time that a primary needs to complete a move. */
private const val RELEASE_MS = 200L

/** Simulates routers that apply the records of their placement policies to one control table, in virtual time and with constant loads. */
internal class PlacementSimulation(
    var config: ConfigState,
    private val settings: PlacementSettings = PlacementSettings(),
) {
    private val policies = mutableMapOf<RouterId, PlacementPolicy>()
    private val endedAtMs = mutableMapOf<RouterId, Long>()
    private val movesSeenAtMs = mutableMapOf<Long, Long>()
    val unreachableSinceMs = mutableMapOf<TargetId, Long>()
    val leavingHosts = mutableSetOf<String>()

    /** Routers whose process is gone; their lease need not have ended. */
    val stoppedRouters = mutableSetOf<RouterId>()
    private var reported: Map<TargetId, TargetLoad> = emptyMap()
    var ratesByKey: Map<String, Double> = emptyMap()
    var table: ControlTable = emptyControlTable()
        private set
    var nowMs = 100_000L
        private set

    /** Records that took effect, with the time at which they were appended. */
    val effective = mutableListOf<Pair<Long, ControlRecord>>()

    val ranges: List<RangeEntry> get() = table.ranges(SERVICE)

    fun append(record: ControlRecord): String? {
        val applied = table.apply(table.position + 1, record)
        table = applied.table
        if (applied.voidReason == null) effective += nowMs to record
        return applied.voidReason
    }

    fun addRouter(name: String, zone: String) {
        append(register(name, zone = zone))
        policies[RouterId(name)] = placementPolicy(settings)
    }

    /** Stops router [name] and ends its lease. */
    fun endRouter(name: String) {
        append(ControlRecord.RouterLeaving(RouterId(name)))
        append(ControlRecord.RouterStopped(RouterId(name)))
        policies -= RouterId(name)
        endedAtMs[RouterId(name)] = nowMs
    }

    /** Makes [target] unreachable for its primary from now on. */
    fun lose(target: String) {
        unreachableSinceMs[TargetId(target)] = nowMs
    }

    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) step()
    }

    fun step() {
        nowMs += STEP_MS
        reported = loads()
        for ((router, policy) in policies.filterKeys { it !in stoppedRouters }) {
            decide(router).forEach { append(it) }
            policy.handovers(inputOf(router)).forEach { append(it) }
        }
        for (entry in table.services.flatMap { table.ranges(it) }) release(entry)
    }

    fun decide(router: RouterId): List<ControlRecord> = policies.getValue(router).decide(inputOf(router))

    private fun inputOf(router: RouterId): PlacementInput =
        PlacementInput(nowMs, router, table, config, reported, unreachableSinceMs, leavingHosts, endedAtMs)

    /** Lets the primary of the owner complete the move of [entry], if any, once [RELEASE_MS] has passed. */
    private fun release(entry: RangeEntry) {
        val move = entry.move ?: return
        val primary = table.primaries[entry.owner]?.router ?: return
        val seenAtMs = movesSeenAtMs.getOrPut(move.epoch) { nowMs }
        if (primary in stoppedRouters || !table.isLive(primary) || nowMs - seenAtMs < RELEASE_MS) return
        append(ControlRecord.RangeReleased(entry.service, entry.range, move.epoch, primary))
    }

    /** Target loads as the primaries report them. */
    fun loads(): Map<TargetId, TargetLoad> =
        config.targets.values.associate { target ->
            val owned =
                table.ranges(target.service).filter { it.owner == target.id }.map { entry ->
                    val keys = ratesByKey.filterKeys { it in entry.range }.entries.sortedByDescending { it.value }
                    RangeLoad(entry.range, keys.sumOf { it.value }, keys.take(16).map { HotKey(it.key, it.value) }, median(entry.range))
                }
            target.id to
                TargetLoad(
                    target = target.id,
                    service = target.service,
                    inFlight = 0,
                    queued = 0,
                    capacity = target.slots.toDouble(),
                    serviceTimeMs = 5.0,
                    requestsPerSecond = owned.sumOf { it.requestsPerSecond },
                    isReachable = target.id !in unreachableSinceMs,
                    ranges = owned,
                )
        }

    private fun median(range: KeyRange): String? {
        val keys = ratesByKey.filterKeys { it in range }.entries.sortedWith { left, right -> compareKeys(left.key, right.key) }
        var before = 0.0
        val half = keys.sumOf { it.value } / 2
        return keys.firstOrNull { (_, rate) -> (before >= half).also { before += rate } }?.key
    }
}

/** A configuration of one keyed service whose ranges start at [starts], with [targets] targets of 5 slots each in three zones. */
internal fun placementConfig(targets: Int, starts: List<String>): ConfigState =
    ConfigState.Empty.copy(
        zones = listOf("brest", "rennes", "vannes").associate { ZoneName(it) to ZoneSpec(ZoneName(it), "breizh") },
        services = mapOf(SERVICE to ServiceSpec(SERVICE, "/katalog", null, KeyRule.PathSegment(1), setOf("GET"), 500)),
        targets = (1..targets).map { placementTarget(it) }.associateBy { it.id },
        ranges = declaredRanges(starts),
    )

internal fun placementTarget(number: Int): TargetSpec {
    val zone = listOf("brest", "rennes", "vannes")[number % 3]
    return TargetSpec(TargetId("t$number"), SERVICE, ZoneName(zone), "t$number", "127.0.0.1:$number", 5, 100, checksFences = true)
}

internal fun declaredRanges(starts: List<String>): Map<String, RangeSpec> =
    starts
        .zip(starts.drop(1) + null)
        .map { (from, to) -> RangeSpec("from-$from", SERVICE, KeyRange(from, to)) }
        .associateBy { it.name }
