package yuccaflow.control

/** Everything that a placement decision is based on. Times are local monotonic time. */
data class PlacementInput(
    val nowMs: Long,
    val self: RouterId,
    val table: ControlTable,
    val config: ConfigState,
    /** Latest load of each target as reported by its primary. */
    val loads: Map<TargetId, TargetLoad>,
    /** Targets that their primary cannot reach, and since when. */
    val unreachableSinceMs: Map<TargetId, Long>,
    /** Hosts that the platform's host list reports as leaving. */
    val leavingHosts: Set<String>,
    /** Ended routers, and when this router read that their lease had ended. */
    val endedAtMs: Map<RouterId, Long>,
)

/** Decides which records to append to bring the control table in line with the configuration. */
fun interface PlacementPolicy {
    /**
     * Returns the records to append now, most urgent first. The policy may keep state between calls; it does no I/O. If another router
     * appends an equivalent record first, the one returned here is void, which is harmless.
     */
    fun decide(input: PlacementInput): List<ControlRecord>

    /**
     * Returns the records by which this router, as the live primary of their targets, hands these targets over. Such a record may only be
     * appended after this router has stopped sending to the target and none of its requests can still run there. A handover in progress
     * is returned again until it has been read back.
     */
    fun handovers(input: PlacementInput): List<ControlRecord.PrimaryAssigned> = emptyList()
}
