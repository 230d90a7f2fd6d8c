package yuccaflow.router.ownership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.external.HostList
import yuccaflow.external.HostListResult
import yuccaflow.external.HostState

/** Follows the platform's host list. The list is a hint: its last known content stands while it cannot be had. */
internal class LeavingHostMonitor(
    private val hostList: HostList?,
    private val timer: TimerService,
) {
    private val leaving = MutableStateFlow(emptySet<String>())

    /** Hosts that the platform calls leaving. */
    val current: StateFlow<Set<String>> get() = leaving

    /** Polls until cancelled; returns at once when there is no host list. */
    suspend fun run() {
        val list = hostList ?: return
        while (true) {
            when (val result = list.hosts()) {
                is HostListResult.Listed ->
                    leaving.value = result.hosts.filter { it.state == HostState.LEAVING }.mapTo(mutableSetOf()) { it.host }
                is HostListResult.ListFailed -> Logger.debug("host list: {}", result.reason)
            }
            timer.sleep(POLL_PERIOD_MS)
        }
    }

    private companion object {
        /** A leaving host may get no new work after 2 s; half of that is left for the list's own answer. */
        const val POLL_PERIOD_MS = 1_000L
    }
}
