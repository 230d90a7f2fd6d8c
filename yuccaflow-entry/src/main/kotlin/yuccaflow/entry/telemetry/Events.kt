package yuccaflow.entry.telemetry

/** Names of the events in the event log. They are part of the interface to operators; see `docs/OPERATIONS.md`. */
internal object Events {
    const val STARTED = "started"
    const val READY = "ready"
    const val STOPPING = "stopping"
    const val STOPPED = "stopped"
    const val RELOADED = "reloaded"
    const val PART_FAILED = "part_failed"
    const val EVENT_LOOP_DELAYED = "event_loop_delayed"

    const val STORE_LOST = "store_lost"
    const val STORE_REGAINED = "store_regained"
    const val STORE_CALL_SLOW = "store_call_slow"
    const val RELAY_STARTED = "relay_started"
    const val RELAY_ENDED = "relay_ended"
    const val STREAM_SNAPSHOT = "stream_snapshot"
    const val STREAM_EXPIRED = "stream_expired"
    const val STREAM_WAIT_MISSED = "stream_wait_missed"

    const val CONFIG_APPLIED = "config_applied"
    const val CONFIG_REJECTED = "config_rejected"
    const val ZONE_EMPTIED = "zone_emptied"
    const val ZONE_RETURNED = "zone_returned"

    const val TARGET_SEEN = "target_seen"
    const val TARGET_DRAINING = "target_draining"
    const val TARGET_PAUSED = "target_paused"
    const val TARGET_GONE = "target_gone"
    const val TARGET_REJECTED = "target_entry_rejected"
    const val TARGET_SUSPECTED = "target_suspected"
    const val TARGET_RECOVERED = "target_recovered"

    const val GROUP_LOST = "group_lost"
    const val GROUP_JOINED = "group_joined"
    const val PLANNER_CLAIMED = "planner_claimed"
    const val PLANNER_SEEN = "planner_seen"
    const val AUTHORITY_EXPIRED = "authority_expired"
    const val RANGE_ASSIGNED = "range_assigned"
    const val RANGE_RELEASED = "range_released"
    const val RANGE_GRANTED = "range_granted"
    const val ORDER_FAILED = "order_failed"
    const val RECORD_REJECTED = "record_rejected"

    const val REQUEST_SAMPLED = "request_sampled"
    const val REQUEST_UNROUTED = "request_unrouted"
    const val REQUEST_DELAYED = "request_delayed"
    const val REQUEST_WITHDRAWN = "request_withdrawn"
    const val REQUEST_REPEATED = "request_repeated"
    const val REQUEST_REFUSED = "request_refused"
    const val REQUEST_UNKNOWN = "request_unknown"
    const val REQUEST_CANCELLED = "request_cancelled"
}
