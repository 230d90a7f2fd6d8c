package yuccaflow.router.fake

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import yuccaflow.base.TimerService
import yuccaflow.control.KeyRange
import yuccaflow.control.ServiceName
import yuccaflow.control.TargetId
import yuccaflow.control.TargetLoad
import yuccaflow.control.TargetSpec
import yuccaflow.external.TargetApiClient
import yuccaflow.external.WorkLimits
import yuccaflow.external.WorkResult
import yuccaflow.http.HttpRequest
import yuccaflow.http.SocketAddress
import yuccaflow.router.admission.RunningRequests
import yuccaflow.router.ownership.Ownership
import yuccaflow.router.ownership.WorkPermit

/** A minimal request path: gets a permit, sends the request, and tracks the running requests. */
class FakeGateway(
    private val targetApi: TargetApiClient,
    private val timer: TimerService,
    private val ownership: () -> Ownership,
) : RunningRequests {
    private data class Running(
        val number: Long,
        val target: TargetId,
        val service: ServiceName,
        val key: String?,
    )

    private val running = MutableStateFlow(emptySet<Running>())
    private var requestCount = 0L
    val slowStarts = mutableListOf<TargetId>()

    /** Sends one request with the given [runLimitMs]. Returns null if the permit was denied. */
    suspend fun send(spec: TargetSpec, key: String?, runLimitMs: Long, idempotent: Boolean = true): WorkResult? {
        val entry = Running(++requestCount, spec.id, spec.service, key)
        running.value += entry
        try {
            val permit = ownership().permit(spec.id, spec.service, key, idempotent) as? WorkPermit.Granted ?: return null
            val runBefore = permit.clock?.clockMsAt(timer.nowMs() + runLimitMs)
            val limits = WorkLimits("$key-$requestCount", permit.epoch, permit.primaryEpoch, runBefore, runLimitMs)
            val result = targetApi.sendWork(SocketAddress.parseOrNull(spec.address)!!, HttpRequest("GET", "/"), limits)
            when (result) {
                is WorkResult.Answered -> result.clock?.let { ownership().answered(spec.id, it) }
                is WorkResult.NotRun -> result.clock?.let { ownership().answered(spec.id, it) }
                is WorkResult.Unknown -> ownership().failed(spec.id, result.reason)
            }
            return result
        } finally {
            running.value -= entry
        }
    }

    override suspend fun awaitNoneRunning(target: TargetId, service: ServiceName, range: KeyRange) {
        val before = running.value.filter { it.target == target && it.service == service && it.key != null && it.key in range }.toSet()
        running.first { now -> before.none { it in now } }
    }

    override suspend fun awaitNoneRunning(target: TargetId) {
        running.first { now -> now.none { it.target == target } }
    }

    override fun loads(): List<TargetLoad> = emptyList()

    override fun restartSlowStart(target: TargetId) {
        slowStarts += target
    }
}
