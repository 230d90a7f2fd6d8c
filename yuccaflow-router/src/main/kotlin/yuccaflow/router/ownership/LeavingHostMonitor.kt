package yuccaflow.router.ownership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.tinylog.Logger
import yuccaflow.base.TimerService
import yuccaflow.external.HostListClient
import yuccaflow.external.HostListResult
import yuccaflow.external.HostState

/**
 * Polls the platform's host list for hosts that are about to be removed.
 *
 * The list is only a hint, so the last known content stays in effect while the list cannot be read.
 */
internal class LeavingHostMonitor(
    private val hostList: HostListClient?,
    private val timer: TimerService,
) {
    private val leaving = MutableStateFlow(emptySet<String>())

    /** Names of the hosts that the platform currently lists as leaving. */
    val current: StateFlow<Set<String>> get() = leaving

    /** Polls until cancelled; returns immediately if the platform has no host list. */
    suspend fun run() {
        val list = hostList ?: return
        while (true) {
            when (val result = list.hosts()) {
                is HostListResult.Listed ->
                    leaving.value = result.hosts.filter { it.state == HostState.LEAVING }.mapTo(mutableSetOf()) { it.host }
                is HostListResult.ListFailed -> Logger.debug("reading the host list failed: {}; keeping the last known list", result.reason)
            }
            timer.sleep(POLL_PERIOD_MS)
        }
    }

    private companion object {
        /** A leaving host must get no new requests after 2 s. Half of that time is reserved for the response of the host list. */
        const val POLL_PERIOD_MS = 1_000L
    }
}
