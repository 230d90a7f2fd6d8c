package yuccaflow.cli

import yuccaflow.entry.view.DesiredState
import yuccaflow.entry.view.ListedRange
import yuccaflow.entry.view.ListedTarget
import yuccaflow.entry.view.RangeList
import yuccaflow.entry.view.RouterList
import yuccaflow.entry.view.TargetList
import java.time.Instant

/** Formats the planner, the candidates for its role and a table of the routers. */
internal fun routersText(list: RouterList): String {
    val planner = list.planner?.let { "Planner: ${it.node}, term ${it.term}, life ${it.life}" } ?: "Planner: none"
    val candidates = list.candidates?.let { names -> names.joinToString().ifEmpty { "none" } } ?: "unknown"
    val rows = list.routers.map {
        listOf(it.node, it.zone, it.relay, if (it.node == list.planner?.node) "planner" else "-")
    }
    return listOf(planner, "Candidates: $candidates", table(listOf("ROUTER", "ZONE", "RELAY", "ROLE"), rows)).joinToString("\n")
}

/** Formats a table of the key ranges. */
internal fun rangesText(list: RangeList): String {
    val rows = list.ranges.map {
        listOf(it.service, cell(it.from), cell(it.to), it.holder, it.zone, cell(it.generation), cell(it.ageRecords)) +
            listOf(startedCell(it.holderBornMs), moveCell(it))
    }
    return table(listOf("SERVICE", "FROM", "TO", "OWNER", "ZONE", "GENERATION", "AGE (RECORDS)", "OWNER STARTED", "MOVE"), rows)
}

private fun moveCell(range: ListedRange): String {
    if (!range.isMoving) return "-"
    return "from " + range.formers.joinToString { it.target }.ifEmpty { "nobody" }
}

/** Formats a table of the targets. */
internal fun targetsText(list: TargetList): String {
    val rows = list.targets.map {
        listOf(it.target, it.service, it.zone, it.address, stateCell(it), cell(it.slots), cell(it.coldRemainingMs)) +
            startedCell(it.bornMs)
    }
    return table(listOf("TARGET", "SERVICE", "ZONE", "ADDRESS", "STATE", "SLOTS", "COLD MS", "STARTED"), rows)
}

private fun stateCell(target: ListedTarget): String = when {
    target.isDraining -> "draining"
    target.isZoneEmptied -> "leaving"
    else -> "in service"
}

/** Formats the version, the zones that the operators evacuate, the limits, and tables of the routes and services. */
internal fun desiredStateText(state: DesiredState): String {
    val routes = state.routes.map { route ->
        val services = route.shares.joinToString { if (route.shares.size == 1) it.service else "${it.service}:${it.weight}" }
        listOf(route.name, route.host, route.pathPrefix, if (route.isIdempotent) "yes" else "no") +
            listOf(route.timeoutMs, route.objectiveMs, route.attempts, route.priority).map(::cell) + services
    }
    val services = state.services.map {
        listOf(it.name, if (it.isKeyed) "yes" else "no", cell(it.connectionLimit), cell(it.coldStartMs), cell(it.coldPerS))
    }
    val limits = state.limits?.let {
        "Limits: header ${it.headerBytes} bytes, body ${it.bodyBytes} bytes, " +
            "request ${it.requestTimeoutMs} ms, idle ${it.idleTimeoutMs} ms"
    }
    return listOfNotNull(
        "Version ${cell(state.version)}",
        state.emptiedZones
            .joinToString { "zone $it" }
            .takeIf { it.isNotEmpty() }
            ?.let { "Leaving: $it" },
        limits,
        table(
            listOf("ROUTE", "HOST", "PREFIX", "IDEMPOTENT", "TIMEOUT MS", "OBJECTIVE MS", "ATTEMPTS", "PRIORITY", "SERVICES"),
            routes,
        ),
        table(listOf("SERVICE", "DIVIDED", "CONNECTIONS", "COLD START MS", "COLD PER SECOND"), services),
    ).joinToString("\n")
}

private fun startedCell(bornMs: Long?): String = bornMs?.let { Instant.ofEpochMilli(it).toString() } ?: "-"
