package yuccaflow.control

/** What a planner knows when it decides. */
data class PlacementInput(
    val nowMs: Long,
    val self: RouterId,
    val table: ControlTable,
    val config: ConfigState,
    /** Latest load of each target, as reported by its primary. */
    val loads: Map<TargetId, TargetLoad>,
    /** Targets that their primary cannot reach, with the time since when. */
    val unreachableSinceMs: Map<TargetId, Long>,
    /** Hosts that the platform's host list calls leaving. */
    val leavingHosts: Set<String>,
    /** Time at which this router read the end of each ended router's lease. */
    val endedAtMs: Map<RouterId, Long>,
)

/** Decides which records would bring the control table closer to the configuration. */
fun interface PlacementPolicy {
    /**
     * Returns the records to append now, most urgent first. The policy may remember when it first saw a need; it does no I/O.
     * A record that another router appends first makes this one void, which is harmless.
     */
    fun decide(input: PlacementInput): List<ControlRecord>

    /**
     * Returns targets that this router, as their live primary, should hand over, as the records to append for it. Such a record may only be
     * appended after this router has stopped sending to the target and none of its requests can still run there. A handover that is under
     * way is returned again until it was read back.
     */
    fun handovers(input: PlacementInput): List<ControlRecord.PrimaryAssigned> = emptyList()
}
