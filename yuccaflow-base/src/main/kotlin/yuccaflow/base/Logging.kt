package yuccaflow.base

import org.tinylog.ThreadContext
import org.tinylog.configuration.Configuration

/** Sets the minimum level of log entries. Must be called before the first entry is logged; later calls have no effect. */
fun configureLogging(level: String) {
    if (!Configuration.isFrozen()) Configuration.set("level", level)
}

/** Runs [log] with [fields] in the logging context, so that they become members of the JSON object of each entry that it logs. */
inline fun withLogFields(vararg fields: Pair<String, Any>, log: () -> Unit) {
    fields.forEach { (name, value) -> ThreadContext.put(name, value.toString()) }
    try {
        log()
    } finally {
        fields.forEach { (name, _) -> ThreadContext.remove(name) }
    }
}
