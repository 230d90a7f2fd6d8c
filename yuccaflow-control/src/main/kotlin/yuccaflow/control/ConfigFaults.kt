package yuccaflow.control

/** Everything that makes [state] an invalid configuration, in words for operators. Empty when it is valid. */
internal fun configFaults(state: ConfigState): List<String> =
    targetFaults(state) + rangeReferenceFaults(state) + coverageFaults(state) + routeFaults(state) + addressFaults(state)

private fun targetFaults(state: ConfigState): List<String> =
    state.targets.values.flatMap { target ->
        listOfNotNull(
            "[target ${target.id}] service: expected a service in force, found ${target.service}".takeIf {
                target.service !in state.services
            },
            "[target ${target.id}] zone: expected a zone in force, found ${target.zone}".takeIf { target.zone !in state.zones },
        )
    }

private fun rangeReferenceFaults(state: ConfigState): List<String> =
    state.ranges.values.mapNotNull { range ->
        when (state.services[range.service]?.isKeyed) {
            null -> "[range ${range.name}] service: expected a service in force, found ${range.service}"
            false -> "[range ${range.name}] service: expected a service that is divided by key, found ${range.service}"
            true -> null
        }
    }

private fun coverageFaults(state: ConfigState): List<String> {
    val rangesByService = state.ranges.values.groupBy { it.service }
    return state.services.values
        .filter { it.isKeyed }
        .flatMap { coverageFaults(it.name, rangesByService[it.name].orEmpty()) }
}

private fun coverageFaults(service: ServiceName, ranges: List<RangeSpec>): List<String> {
    val faults = mutableListOf<String>()
    val ordered = ranges.sortedWith { left, right -> compareKeys(left.range.from, right.range.from) }
    // A null key means that everything is covered up to the end.
    var coveredTo: String? = ""
    for (range in ordered) {
        val from = range.range.from
        val gap = coveredTo?.let { compareKeys(it, from) }
        if (gap == null || gap > 0) faults += "service $service: range ${range.name} overlaps the range before it at key '$from'"
        if (gap != null && gap < 0) faults += "service $service: no range covers the keys from '$coveredTo' to '$from'"
        coveredTo = furthest(coveredTo, range.range.to)
    }
    if (coveredTo != null) faults += "service $service: no range covers the keys from '$coveredTo' on"
    return faults
}

private fun furthest(left: String?, right: String?): String? =
    if (left == null || right == null) {
        null
    } else if (compareKeys(left, right) >= 0) {
        left
    } else {
        right
    }

private fun routeFaults(state: ConfigState): List<String> =
    duplicates(state.services.values, { it.host.orEmpty() to it.pathPrefix }) { (host, path), services ->
        "services ${services.joinToString { it.name.value }} have the same path $path" + if (host.isEmpty()) "" else " and host $host"
    }

private fun addressFaults(state: ConfigState): List<String> =
    duplicates(state.targets.values, { it.address }) { address, targets ->
        "targets ${targets.joinToString { it.id.value }} have the same address $address"
    }

private fun <T, K> duplicates(values: Collection<T>, key: (T) -> K, message: (K, List<T>) -> String): List<String> =
    values.groupBy(key).filterValues { it.size > 1 }.map { (shared, group) -> message(shared, group) }
