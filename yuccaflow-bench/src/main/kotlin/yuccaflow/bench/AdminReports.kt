package yuccaflow.bench

import kotlinx.coroutines.delay
import yuccaflow.control.AdminJson
import yuccaflow.control.KeyRange
import yuccaflow.control.OwnersReport
import yuccaflow.control.RangeReport
import yuccaflow.control.StatusReport
import yuccaflow.control.TargetsReport

private const val AWAIT_TIMEOUT_MS = 40_000L
private const val AWAIT_POLL_MS = 100L

/** Polls [condition] until it holds; fails after [timeoutMs]. */
internal suspend fun awaitUntil(what: String, timeoutMs: Long = AWAIT_TIMEOUT_MS, condition: suspend () -> Boolean) {
    val deadline = System.nanoTime() + timeoutMs * NANOS_PER_MS
    while (!condition()) {
        check(System.nanoTime() < deadline) { "expected within $timeoutMs ms: $what" }
        delay(AWAIT_POLL_MS)
    }
}

/** Returns true when the range contains [key] of [service]. */
internal fun RangeReport.holds(service: String, key: String): Boolean = this.service.value == service && key in KeyRange(from, to)

/** The status of the router, or null when it does not respond. */
internal suspend fun RouterHandle.status(): StatusReport? = report("/status")

/** The ranges known to the router, or null when it does not respond. */
internal suspend fun RouterHandle.owners(): OwnersReport? = report("/owners")

/** The targets known to the router, or null when it does not respond. */
internal suspend fun RouterHandle.targets(): TargetsReport? = report("/targets")

private suspend inline fun <reified T> RouterHandle.report(path: String): T? =
    ControlClient.getOrNull(plan.admin, path)?.let { AdminJson.decodeFromString<T>(it) }
