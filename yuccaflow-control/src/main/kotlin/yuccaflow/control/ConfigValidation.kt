package yuccaflow.control

/** Validates [state]. Returns one message for operators per error; empty if the configuration is valid. */
internal fun configErrors(state: ConfigState): List<String> =
    targetErrors(state) + rangeReferenceErrors(state) + coverageErrors(state) + routeErrors(state) + addressErrors(state)

private fun targetErrors(state: ConfigState): List<String> =
    state.targets.values.flatMap { target ->
        listOfNotNull(
            "[target ${target.id}] service: expected a service in force, found ${target.service}".takeIf {
                target.service !in state.services
            },
            "[target ${target.id}] zone: expected a zone in force, found ${target.zone}".takeIf { target.zone !in state.zones },
        )
    }

private fun rangeReferenceErrors(state: ConfigState): List<String> =
    state.ranges.values.mapNotNull { range ->
        when (state.services[range.service]?.isKeyed) {
            null -> "[range ${range.name}] service: expected a service in force, found ${range.service}"
            false -> "[range ${range.name}] service: expected a service that is divided by key, found ${range.service}"
            true -> null
        }
    }

private fun coverageErrors(state: ConfigState): List<String> {
    val rangesByService = state.ranges.values.groupBy { it.service }
    return state.services.values
        .filter { it.isKeyed }
        .flatMap { coverageErrors(it.name, rangesByService[it.name].orEmpty()) }
}

private fun coverageErrors(service: ServiceName, ranges: List<RangeSpec>): List<String> {
    val errors = mutableListOf<String>()
    val ordered = ranges.sortedWith { left, right -> compareKeys(left.range.from, right.range.from) }
    // Null means that the ranges so far cover all keys to the end.
    var coveredTo: String? = ""
    for (range in ordered) {
        val from = range.range.from
        val gap = coveredTo?.let { compareKeys(it, from) }
        if (gap == null || gap > 0) errors += "service $service: range ${range.name} overlaps the range before it at key '$from'"
        if (gap != null && gap < 0) errors += "service $service: no range covers the keys from '$coveredTo' to '$from'"
        coveredTo = furthest(coveredTo, range.range.to)
    }
    if (coveredTo != null) errors += "service $service: no range covers the keys from '$coveredTo' on"
    return errors
}

private fun furthest(left: String?, right: String?): String? =
    if (left == null || right == null) {
        null
    } else if (compareKeys(left, right) >= 0) {
        left
    } else {
        right
    }

private fun routeErrors(state: ConfigState): List<String> =
    duplicates(state.services.values, { it.host.orEmpty() to it.pathPrefix }) { (host, path), services ->
        "services ${services.joinToString { it.name.value }} have the same path $path" + if (host.isEmpty()) "" else " and host $host"
    }

private fun addressErrors(state: ConfigState): List<String> =
    duplicates(state.targets.values, { it.address }) { address, targets ->
        "targets ${targets.joinToString { it.id.value }} have the same address $address"
    }

private fun <T, K> duplicates(values: Collection<T>, key: (T) -> K, message: (K, List<T>) -> String): List<String> =
    values.groupBy(key).filterValues { it.size > 1 }.map { (shared, group) -> message(shared, group) }
