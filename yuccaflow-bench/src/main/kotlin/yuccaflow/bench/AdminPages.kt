package yuccaflow.bench

import kotlinx.coroutines.delay
import yuccaflow.control.AdminJson
import yuccaflow.control.KeyRange
import yuccaflow.control.OwnersReport
import yuccaflow.control.RangeReport
import yuccaflow.control.StatusReport
import yuccaflow.control.TargetsReport

private const val AWAIT_LIMIT_MS = 40_000L
private const val AWAIT_POLL_MS = 100L

/** Polls [condition] until it holds; fails after [limitMs]. */
internal suspend fun awaitUntil(what: String, limitMs: Long = AWAIT_LIMIT_MS, condition: suspend () -> Boolean) {
    val deadline = System.nanoTime() + limitMs * NANOS_PER_MS
    while (!condition()) {
        check(System.nanoTime() < deadline) { "expected within $limitMs ms: $what" }
        delay(AWAIT_POLL_MS)
    }
}

/** Tells whether the range holds [key] of [service]. */
internal fun RangeReport.holds(service: String, key: String): Boolean = this.service.value == service && key in KeyRange(from, to)

/** The router's own view of itself, or null when it does not answer. */
internal suspend fun RouterHandle.status(): StatusReport? = page("/status")

/** The ranges as the router knows them, or null when it does not answer. */
internal suspend fun RouterHandle.owners(): OwnersReport? = page("/owners")

/** The targets as the router knows them, or null when it does not answer. */
internal suspend fun RouterHandle.targets(): TargetsReport? = page("/targets")

private suspend inline fun <reified T> RouterHandle.page(path: String): T? =
    Web.getOrNull(plan.admin, path)?.let { AdminJson.decodeFromString<T>(it) }
