package yuccaflow.router

import kotlinx.coroutines.flow.StateFlow
import yuccaflow.control.ConfigState
import yuccaflow.control.ControlTable

/** What this router has read of the two streams so far. */
data class RouterState(
    val table: ControlTable,
    val config: ConfigState,
)

/** Source of the latest [RouterState]. */
fun interface StateSource {
    /** The state as it changes; the value is never older than the last record that this router acted on. */
    fun state(): StateFlow<RouterState>
}
