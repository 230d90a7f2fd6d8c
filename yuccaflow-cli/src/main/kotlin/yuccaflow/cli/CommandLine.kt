package yuccaflow.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg
import yuccaflow.control.MarkSubject
import yuccaflow.http.SocketAddress

private const val PROGRAM = "yuccactl"
private const val DEFAULT_TIMEOUT_S = 30
private const val MAX_TIMEOUT_S = 3_600
private const val MS_PER_S = 1_000L

/** Parses the command line. */
internal fun parseCommandLine(arguments: List<String>): Invocation = try {
    CommandLine().parse(arguments)
} catch (exit: ParserExit) {
    if (exit.status == 0) Invocation.Show(exit.text + EXIT_STATUSES, ExitStatus.DONE) else Invocation.Show(exit.text, ExitStatus.USAGE)
}

private const val EXIT_STATUSES = """
Exit statuses: 0 done; 1 rejected; 2 the command line or the file is not valid; 3 the outcome is unknown or the time limit passed;
4 the log service, the store or the routers cannot be reached, and nothing was published.
"""

/** Thrown where the parser library would print [text] and exit the process with [status]. */
private class ParserExit(
    val text: String,
    val status: Int,
) : RuntimeException(text)

private class CommandLine {
    private val parser = ArgParser(PROGRAM)
    private val log by parser.option(ArgType.String, "log", "l", "Address of the log service as IP:PORT")
    private val router by parser.option(
        ArgType.String,
        "router",
        "r",
        "Admin address of one router as IP:PORT, to query only this router, without the log service",
    )
    private val store by parser.option(
        ArgType.String,
        "store",
        "s",
        "Address of a platform's store as IP:PORT, for status, owners, targets and notes instead of --log",
    )
    private val timeout by parser
        .option(
            ArgType.Int,
            "timeout",
            "t",
            "Seconds to wait until a change is in force everywhere",
        ).default(DEFAULT_TIMEOUT_S)
    private val json by parser.option(ArgType.Boolean, "json", "j", "Print JSON instead of text").default(false)
    private val version by parser.option(ArgType.Boolean, "version", "v", "Print the version").default(false)
    private var selected: Command? = null

    fun parse(arguments: List<String>): Invocation {
        throwOnParserExit()
        parser.subcommands(
            FileCommand("check", "Check a release note without publishing it", Command::Check),
            FileCommand("publish", "Publish a release note and wait until it is in force on every live router", Command::Publish),
            MarkCommand("leave", "Mark a zone or host as leaving: it gets no new work", isLeaving = true),
            MarkCommand("return", "Mark a zone or host as returned", isLeaving = false),
            NoArgumentCommand("status", "Show the routers", Command.Status),
            NoArgumentCommand("owners", "Show which target owns each key range", Command.Owners),
            NoArgumentCommand("targets", "Show the targets with their primaries and load", Command.Targets),
            NoArgumentCommand("notes", "Show what is in force: the published notes and marks, or the store's routing table", Command.Notes),
            TraceCommand(),
            ExplainCommand(),
        )
        parser.parse(arguments.toTypedArray())
        if (version) {
            return Invocation.Show(
                "$PROGRAM ${CommandLine::class.java.`package`.implementationVersion ?: "unpackaged"}",
                ExitStatus.DONE,
            )
        }
        val command = selected ?: return usageError("expected a command, found none")
        return options(command)
    }

    private fun options(command: Command): Invocation {
        val logAddress = log?.let { SocketAddress.parseOrNull(it) ?: return usageError("--log: expected IP:PORT, found '$it'") }
        val routerAddress = router?.let { SocketAddress.parseOrNull(it) ?: return usageError("--router: expected IP:PORT, found '$it'") }
        val storeAddress = store?.let { SocketAddress.parseOrNull(it) ?: return usageError("--store: expected IP:PORT, found '$it'") }
        if (timeout !in 1..MAX_TIMEOUT_S) return usageError("--timeout: expected seconds from 1 to $MAX_TIMEOUT_S, found $timeout")
        val options = Options(logAddress, routerAddress, storeAddress, timeout * MS_PER_S, json)
        addressError(command, options)?.let { return usageError(it) }
        return Invocation.Run(command, options)
    }

    /** Returns what is wrong with the address options for [command], or null if they are valid. */
    private fun addressError(command: Command, options: Options): String? = when {
        command is Command.Check || command is Command.Explain -> null
        options.store != null -> storeOptionError(command, options)
        options.log != null -> null
        command is Command.Publish || command is Command.Mark -> "expected --log IP:PORT with the address of the log service"
        command is Command.Notes -> "expected --log IP:PORT or --store IP:PORT"
        options.router != null -> null
        command is Command.Trace -> "expected --log IP:PORT or --router IP:PORT"
        else -> "expected --log IP:PORT, --router IP:PORT or --store IP:PORT"
    }

    private fun storeOptionError(command: Command, options: Options): String? = when {
        command is Command.Publish || command is Command.Mark ->
            "--store: expected a command that only reads; use the tools of the platform to write to its store"
        command is Command.Trace -> "--store: expected a command other than trace, since the store holds no traces; see explain"
        options.log != null || options.router != null -> "--store: expected neither --log nor --router together with it"
        else -> null
    }

    private fun usageError(text: String) = Invocation.Show("$PROGRAM: $text. See $PROGRAM --help.", ExitStatus.USAGE)

    /**
     * Makes the parser throw [ParserExit] instead of printing its help or error text and exiting with its fixed status 127. The library
     * has no public API for this, only a property that is internal to its module.
     */
    private fun throwOnParserExit() {
        val end: (String, Int) -> Nothing = { text, status -> throw ParserExit(text, status) }
        ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(parser, end)
    }

    private inner class NoArgumentCommand(
        name: String,
        description: String,
        private val command: Command,
    ) : Subcommand(name, description) {
        override fun execute() {
            selected = command
        }
    }

    private inner class FileCommand(
        name: String,
        description: String,
        private val command: (String) -> Command,
    ) : Subcommand(name, description) {
        private val file by argument(ArgType.String, "FILE", "File with the release note")

        override fun execute() {
            selected = command(file)
        }
    }

    private inner class MarkCommand(
        name: String,
        description: String,
        private val isLeaving: Boolean,
    ) : Subcommand(name, description) {
        private val kind by argument(ArgType.Choice<MarkSubject>(), "KIND", "What to mark")
        private val subject by argument(ArgType.String, "NAME", "Name of the zone or host")

        override fun execute() {
            selected = Command.Mark(kind, subject, isLeaving)
        }
    }

    private inner class ExplainCommand : Subcommand("explain", "Explain a request from the logs of routers") {
        private val requestId by argument(ArgType.String, "REQUEST-ID", "The id of the request")
        private val files by argument(ArgType.String, "FILES", "Log files; standard input when there is none").vararg().optional()

        override fun execute() {
            selected = Command.Explain(requestId, files)
        }
    }

    private inner class TraceCommand : Subcommand("trace", "Show the trace of a request") {
        private val requestId by argument(ArgType.String, "REQUEST-ID", "The X-Request-Id of the request")

        override fun execute() {
            selected = Command.Trace(requestId)
        }
    }
}
