package yuccaflow.router

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.tinylog.Logger
import org.tinylog.provider.ProviderRegistry
import sun.misc.Signal
import yuccaflow.base.configureLogging
import yuccaflow.http.haltOnEventLoopEnd
import yuccaflow.router.settings.RouterSettings
import yuccaflow.router.settings.SettingsResult
import yuccaflow.router.settings.loadSettings
import java.io.IOException
import java.nio.file.Path
import kotlin.system.exitProcess

private const val STATUS_FAILED = 1
private const val STATUS_INVALID_SETTINGS = 2

/** Entry point of `yuccaflowd`. Exits with status 0 after a graceful shutdown, 1 after a failure and 2 when the settings are invalid. */
fun main(args: Array<String>) {
    val parser = ArgParser("yuccaflowd")
    val settingsFile by parser.option(ArgType.String, "settings", description = "Settings file of this router")
    val isCheckOnly by parser.option(ArgType.Boolean, "check", description = "Check the settings file and exit").default(false)
    val isVersionRequested by parser.option(ArgType.Boolean, "version", description = "Print the version and exit").default(false)
    parser.parse(args)
    if (isVersionRequested) {
        println("yuccaflowd ${Daemon::class.java.`package`?.implementationVersion ?: "development"}")
        return
    }
    val file = settingsFile ?: return endWith(STATUS_INVALID_SETTINGS, listOf("yuccaflowd: expected --settings FILE, found none"))
    when (val result = loadSettings(Path.of(file))) {
        is SettingsResult.Invalid -> endWith(STATUS_INVALID_SETTINGS, result.errors.map { "$file: $it" })
        is SettingsResult.Loaded -> if (isCheckOnly) println("$file: valid") else exitProcess(run(result.settings))
    }
}

private fun endWith(status: Int, lines: List<String>) {
    lines.forEach { System.err.println(it) }
    exitProcess(status)
}

private fun run(settings: RouterSettings): Int {
    configureLogging(settings.logLevel)
    haltOnEventLoopEnd(STATUS_FAILED)
    val stop = CompletableDeferred<Unit>()
    listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { stop.complete(Unit) } }
    return try {
        runBlocking(Dispatchers.Default) { startDaemon(settings).run(stop) }
    } catch (failure: IOException) {
        Logger.error(failure, "the router could not start")
        STATUS_FAILED
    } finally {
        ProviderRegistry.getLoggingProvider().shutdown()
    }
}
