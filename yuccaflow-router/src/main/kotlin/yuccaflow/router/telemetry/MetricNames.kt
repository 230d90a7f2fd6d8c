package yuccaflow.router.telemetry

/** Names of the meters, without the unit suffixes that the Prometheus registry adds. */
object MetricNames {
    /** Timer of callers' requests; tags `service`, `outcome` (answered, not-run, unknown, rejected). */
    const val REQUESTS: String = "yuccaflow.requests"

    /** Counter of refused requests; tags `service`, `reason`. */
    const val REFUSALS: String = "yuccaflow.refusals"

    /** Gauge of requests running at a target; tag `target`. */
    const val IN_FLIGHT: String = "yuccaflow.target.in.flight"

    /** Gauge of requests waiting for a slot; tag `target`. */
    const val QUEUED: String = "yuccaflow.target.queued"

    /** Gauge of the learned capacity of a target in slots; tag `target`. */
    const val CAPACITY: String = "yuccaflow.target.capacity"

    /** Counter of retries; tag `service`. */
    const val RETRIES: String = "yuccaflow.retries"

    /** Counter of hedges; tag `service`. */
    const val HEDGES: String = "yuccaflow.hedges"

    /** Gauge: 1 while the router holds a valid lease. */
    const val LEASE_VALID: String = "yuccaflow.lease.valid"

    /** Gauge of the offset of the last record read; tag `stream`. */
    const val LOG_POSITION: String = "yuccaflow.log.position"

    /** Gauge of the records not read yet, as of the last answer of the log service; tag `stream`. */
    const val LOG_LAG: String = "yuccaflow.log.behind"

    /** Counter of appends to the log; tags `record`, `result`. */
    const val APPENDS: String = "yuccaflow.log.appends"

    /** Counter of key range moves that this router completed; tag `service`. */
    const val MOVES: String = "yuccaflow.moves"

    /** Counter of calls to peers; tags `message`, `result`. */
    const val PEER_CALLS: String = "yuccaflow.peer.calls"
}
