package yuccaflow.bench

/** Keys have five digits, as in the load generator. */
private const val KEY_SPACE = 100_000
private const val KEY_DIGITS = 5

/** Renders the first release note of the deployment as INI. [addressOf] returns the address of a target by its name. */
internal fun Deployment.releaseNote(id: String, addressOf: (String) -> String): String = buildString {
    section("note", "id" to id, "base" to "0")
    zones.forEach { section("zone $it", "action" to "add", "region" to region) }
    services.forEach { service ->
        section(
            "service ${service.name}",
            "action" to "add",
            "path" to "/${service.name}",
            "key" to if (service.isKeyed) "path:1" else "none",
            "idempotent" to "GET, HEAD",
            "run_limit_ms" to service.runLimitMs.toString(),
        )
        service.ranges().forEachIndexed { index, (from, to) ->
            val name = "%s-%02d".format(service.name, index + 1)
            section("range $name", "action" to "add", "service" to service.name, "from" to from, "to" to to.orEmpty())
        }
    }
    targets.forEach { target ->
        section(
            "target ${target.name}",
            "action" to "add",
            "service" to target.service.name,
            "zone" to target.zone,
            "host" to "host-${target.name}",
            "address" to addressOf(target.name),
            "slots" to target.slots.toString(),
            "connections" to connections.toString(),
            "checks_fences" to if (target.checksFences) "yes" else "no",
        )
    }
}.trimEnd() + "\n"

/** The declared key ranges of the service, which have the same width. The first starts at the empty key and the last is unbounded. */
internal fun ServicePlan.ranges(): List<Pair<String, String?>> {
    val bounds = (0..ranges).map { index -> (index * KEY_SPACE / maxOf(1, ranges)).toString().padStart(KEY_DIGITS, '0') }
    return (0 until ranges).map { index ->
        (if (index == 0) "" else bounds[index]) to bounds[index + 1].takeIf { index < ranges - 1 }
    }
}

private fun StringBuilder.section(title: String, vararg fields: Pair<String, String>) {
    appendLine("[$title]")
    fields.forEach { (key, value) -> appendLine("$key = $value".trimEnd()) }
    appendLine()
}

private const val EXAMPLE_FIRST_PORT = 9_001

/** The release note under `examples/`, in which the targets have consecutive loopback ports. */
internal fun exampleReleaseNote(deployment: Deployment): String {
    val names = deployment.targets.map { it.name }
    return deployment.releaseNote("${deployment.name}-first") { "127.0.0.1:${EXAMPLE_FIRST_PORT + names.indexOf(it)}" }
}
