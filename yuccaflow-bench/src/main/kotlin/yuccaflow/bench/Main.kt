package yuccaflow.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Entry point of the demo and the benchmarks. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("yuccaflow-bench")
    parser.subcommands(DemoCommand(), BenchCommand(), NoteCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}

@OptIn(ExperimentalCli::class)
private class DemoCommand : Subcommand("demo", "Zone evacuation drill under load, with stand-ins and three routers") {
    private val deployment by argument(ArgType.String, "deployment", "harpes or planwerk").optional().default("harpes")

    override fun execute(): Unit = exitWith { runDemo(Deployment.named(deployment)) }
}

@OptIn(ExperimentalCli::class)
private class BenchCommand : Subcommand("bench", "Runs an experiment: ${Experiments.keys.joinToString(", ")}") {
    private val experiment by argument(ArgType.Choice(Experiments.keys.toList(), { it }), "experiment")
    private val seed by option(ArgType.Int, description = "Seed of keys, send times and service times").default(1)
    private val deployment by option(ArgType.String, description = "harpes or planwerk").default("harpes")
    private val routers by option(ArgType.Int, description = "Routers per zone").default(DEFAULT_ROUTERS_PER_ZONE)
    private val repeats by option(ArgType.Int, description = "Repetitions of each failure").default(DEFAULT_REPEATS)
    private val phase by option(ArgType.Int, "phase-ms", description = "Duration of each load phase, in ms").default(DEFAULT_PHASE_MS)

    override fun execute(): Unit = exitWith {
        val settings = ExperimentSettings(seed.toLong(), Deployment.named(deployment), routers, repeats, phase.toLong())
        Experiments.getValue(experiment).run(settings, Report(experiment, settings.seed))
    }
}

private const val DEFAULT_ROUTERS_PER_ZONE = 3
private const val DEFAULT_REPEATS = 3
private const val DEFAULT_PHASE_MS = 20_000

@OptIn(ExperimentalCli::class)
private class NoteCommand : Subcommand("note", "Prints the first release note of a deployment, as in examples/") {
    private val deployment by argument(ArgType.String, "deployment", "harpes or planwerk").optional().default("harpes")

    override fun execute(): Unit = print(exampleReleaseNote(Deployment.named(deployment)))
}

/** Exits with status 0 when [run] returns true, and with status 1 when it returns false or throws. */
private fun exitWith(run: suspend () -> Boolean) {
    val passed = runCatching { runBlocking { run() } }.onFailure { System.err.println("failed: ${it.message}") }
    exitProcess(if (passed.getOrDefault(false)) 0 else 1)
}
