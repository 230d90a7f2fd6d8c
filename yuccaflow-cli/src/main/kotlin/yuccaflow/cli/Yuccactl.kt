package yuccaflow.cli

import yuccaflow.base.TimerService
import yuccaflow.entry.view.StateReader
import yuccaflow.external.LogService
import yuccaflow.http.HttpClient
import yuccaflow.http.SocketAddress
import java.io.PrintStream

/** The command-line tool. [storeAt] creates the reader of the platform's store at an address, and [logAt] the client of the log service. */
internal class Yuccactl(
    private val out: PrintStream,
    private val err: PrintStream,
    private val client: HttpClient,
    private val timer: TimerService,
    private val storeAt: (SocketAddress) -> StateReader = ::platformStore,
    private val logAt: (SocketAddress) -> LogService,
) {
    /** Runs the command line [arguments] and returns the exit status. */
    suspend fun run(arguments: List<String>): ExitStatus = when (val invocation = parseCommandLine(arguments)) {
        is Invocation.Show -> invocation.status.also { (if (it == ExitStatus.DONE) out else err).println(invocation.text) }
        is Invocation.Run -> runCommand(invocation.command, invocation.options)
    }

    private suspend fun runCommand(command: Command, options: Options): ExitStatus {
        val console = Console(out, err, options.isJson)
        val log = options.log?.let(logAt)
        val reader = log?.let { StreamReader(it) }
        val adminClient = RouterAdminClient(client)
        val publishing = PublishCommands(
            publisher = if (log != null && reader != null) Publisher(log, reader, timer) else null,
            rollout = reader?.let { RolloutMonitor(it, adminClient, timer) },
            console = console,
            nowMs = timer::nowMs,
        )
        val reports = ReportCommands(reader, adminClient, options.router, console)
        val state = options.store?.let { StoreCommands(storeAt(it), it, console) } ?: reports
        return try {
            when (command) {
                is Command.Check -> publishing.check(command.file)
                is Command.Publish -> publishing.publish(command.file, options.timeoutMs)
                is Command.Mark -> publishing.mark(command, options.timeoutMs)
                Command.Status -> state.status()
                Command.Owners -> state.owners()
                Command.Targets -> state.targets()
                Command.Notes -> state.notes()
                is Command.Explain -> explain(command.requestId, command.files, console)
                is Command.Trace -> reports.trace(command.requestId)
            }
        } catch (failure: LogReadException) {
            console.error(
                "cannot read the log service at ${options.log}: ${failure.message}. Check --log, or query a router with --router.",
            )
            ExitStatus.UNREACHABLE
        }
    }
}
