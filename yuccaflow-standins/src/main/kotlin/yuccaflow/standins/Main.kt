package yuccaflow.standins

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import yuccaflow.http.httpServer
import java.io.File

/** Entry point of the stand-ins. Each prints a JSON line with its addresses once it accepts connections, and stops on SIGTERM. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("standin")
    parser.subcommands(LogCommand(), HostsCommand(), TargetsCommand(), RelayCommand(), CallersCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}

private const val DEFAULT_DEADLINE_MS = 3_000
private const val DEFAULT_RATE = 100.0

@OptIn(ExperimentalCli::class)
private class LogCommand : Subcommand("log", "In-memory log service") {
    private val listen by option(ArgType.String, description = "IP:PORT").required()

    override fun execute(): Unit = runBlocking {
        val server = httpServer(parseAddress(listen), StandinLimits, LogStandin())
        serveUntilStopped("log", mapOf("listen" to server.address.toString()))
    }
}

@OptIn(ExperimentalCli::class)
private class HostsCommand : Subcommand("hosts", "Host list") {
    private val listen by option(ArgType.String, description = "IP:PORT").required()
    private val hosts by option(ArgType.String, description = "host=zone,host=zone").default("")
    private val lagMs by option(ArgType.Int, "lag-ms", description = "Time until a change becomes visible, in ms").default(0)

    override fun execute(): Unit = runBlocking {
        val zones = hosts.split(',').filter { '=' in it }.associate { it.substringBefore('=') to it.substringAfter('=') }
        val server = httpServer(parseAddress(listen), StandinLimits, HostsStandin(zones, lagMs.toLong()))
        serveUntilStopped("hosts", mapOf("listen" to server.address.toString()))
    }
}

@OptIn(ExperimentalCli::class)
private class TargetsCommand : Subcommand("targets", "Targets on consecutive ports") {
    private val control by option(ArgType.String, description = "IP:PORT of the switches").required()
    private val first by option(ArgType.String, description = "IP:PORT of the first target").required()
    private val spec by option(ArgType.String, description = "File with a JSON list of targets").required()
    private val seed by option(ArgType.Int, description = "Seed of the service times").default(1)

    override fun execute(): Unit = runBlocking {
        val targets = TargetGroup(StandinJson.decodeFromString(File(spec).readText()), parseAddress(first), seed.toLong())
        targets.start()
        val server = httpServer(parseAddress(control), StandinLimits, targets)
        serveUntilStopped("targets", mapOf("control" to server.address.toString()) + targets.addresses)
    }
}

@OptIn(ExperimentalCli::class)
private class RelayCommand : Subcommand("relay", "TCP forwarder with a delay per route") {
    private val control by option(ArgType.String, description = "IP:PORT of the switches").required()
    private val spec by option(ArgType.String, description = "File with a JSON list of routes").required()

    override fun execute(): Unit = runBlocking {
        val routes: List<RouteSpec> = StandinJson.decodeFromString(File(spec).readText())
        val relay = RelayStandin(routes)
        relay.start()
        val server = httpServer(parseAddress(control), StandinLimits, relay)
        serveUntilStopped("relay", mapOf("control" to server.address.toString()) + routes.associate { it.name to it.listen })
    }
}

@OptIn(ExperimentalCli::class)
private class CallersCommand : Subcommand("callers", "Open-loop load generator") {
    private val control by option(ArgType.String, description = "IP:PORT of the switches").required()
    private val entries by option(ArgType.String, description = "IP:PORT,IP:PORT of the routers").required()
    private val probes by option(
        ArgType.String,
        description = "IP:PORT,IP:PORT whose /ready is probed, in the order of the entries",
    ).default("")
    private val mix by option(ArgType.String, description = "File with a JSON list of request templates").required()
    private val rate by option(ArgType.Double, description = "Requests per second").default(DEFAULT_RATE)
    private val seconds by option(ArgType.Int, description = "Duration, 0 for unlimited").default(0)
    private val seed by option(ArgType.Int, description = "Seed of send times, request templates and keys").default(1)
    private val prefix by option(ArgType.String, description = "Prefix of request ids").default("c")
    private val deadlineMs by option(ArgType.Int, "deadline-ms", description = "Deadline of a request, in ms").default(DEFAULT_DEADLINE_MS)

    override fun execute(): Unit = runBlocking {
        val settings = LoadGeneratorSettings(
            entries = entries.split(',').map { parseAddress(it.trim()) },
            probes = probes.split(',').filter { it.isNotBlank() }.map { parseAddress(it.trim()) },
            mix = StandinJson.decodeFromString(File(mix).readText()),
            rate = rate,
            seconds = seconds,
            seed = seed.toLong(),
            prefix = prefix,
            deadlineMs = deadlineMs.toLong(),
        )
        val generator = LoadGenerator(settings)
        val server = httpServer(parseAddress(control), StandinLimits, generator)
        generator.start(CoroutineScope(SupervisorJob() + Dispatchers.Default))
        serveUntilStopped("callers", mapOf("control" to server.address.toString()))
    }
}
