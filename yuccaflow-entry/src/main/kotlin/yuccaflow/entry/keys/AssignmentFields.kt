package yuccaflow.entry.keys

import yuccaflow.entry.telemetry.EventFields

/** Adds the fields that identify [assignment] to a log event. */
internal fun EventFields.describe(assignment: Assignment) {
    put("service", assignment.service)
    put("from", assignment.from)
    put("to", assignment.to)
    put("target", assignment.holder.target)
    put("generation", assignment.generation)
}
