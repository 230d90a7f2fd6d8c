package yuccaflow.bench

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** The objects of a JSON list, or of the only list in a JSON object. */
internal fun listOfObjects(text: String): List<JsonObject> {
    val element = BenchJson.parseToJsonElement(text)
    val list = element as? JsonArray ?: (element as? JsonObject)?.values?.filterIsInstance<JsonArray>()?.singleOrNull()
    return list.orEmpty().filterIsInstance<JsonObject>()
}

/** The text of a JSON value, or null for null and for anything else. */
internal fun JsonElement?.text(): String? = (this as? JsonPrimitive)?.contentOrNull

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

/** The name of a target on `/targets`. */
internal fun JsonObject.name(): String? = this["target"].text() ?: this["id"].text() ?: this["name"].text()

/** Tells whether a range on `/owners` holds [key] of [service]. */
internal fun JsonObject.holds(service: String, key: String): Boolean {
    val from = this["from"].text().orEmpty()
    val to = this["to"].text()
    return this["service"].text() == service && key >= from && (to.isNullOrEmpty() || key < to)
}

/** The id of the running router, from its `/status`. */
internal suspend fun RouterHandle.id(): String? {
    val status = Web.json(plan.admin, "/status") as? JsonObject
    return status?.get("router").text() ?: status?.get("router_id").text()
}

/** The owner of a range on `/owners`. */
internal fun JsonObject.owner(): String? = this["owner"].text() ?: this["target"].text()
