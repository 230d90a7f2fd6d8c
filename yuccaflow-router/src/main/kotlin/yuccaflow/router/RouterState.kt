package yuccaflow.router

import kotlinx.coroutines.flow.StateFlow
import yuccaflow.control.ConfigState
import yuccaflow.control.ControlTable

/** The state of the system that results from the control and configuration records that this router has read so far. */
data class RouterState(
    val table: ControlTable,
    val config: ConfigState,
)

/** Source of the latest [RouterState]. */
fun interface StateSource {
    /** Returns the flow of states. Its value is never older than the last record that this router acted on. */
    fun state(): StateFlow<RouterState>
}
