package yuccaflow.bench

import java.io.File
import java.nio.file.Files

/** The executable jars, below the root of the working copy. */
internal enum class Program(
    private val module: String,
) {
    STANDIN("yuccaflow-standins"),
    ROUTER("yuccaflow-router"),
    CTL("yuccaflow-cli"),
    ;

    /** Returns the jar; fails when it has not been built. */
    fun jar(): File {
        val target = File(root, "$module/target")
        val jar = target.listFiles { file -> file.name.matches(Regex("$module-[0-9.]+\\.jar")) }?.firstOrNull()
        return checkNotNull(jar) { "expected the jar of $module in $module/target, found none; run mvn -B package -DskipTests" }
    }

    companion object {
        /**
         * Root of the working copy: the nearest directory with a `yuccaflow-standins` module, from the system property `yuccaflow.root` or
         * the current directory upwards.
         */
        val root: File by lazy {
            val start = File(System.getProperty("yuccaflow.root") ?: System.getProperty("user.dir")).absoluteFile
            generateSequence(start) { it.parentFile }.first { File(it, "yuccaflow-standins").isDirectory }
        }
    }
}

/** JVM options of a child process. */
internal data class JvmOptions(
    val heapMb: Int = 192,
    /** Off for short runs, which are not measurements. */
    val usesOptimizingCompiler: Boolean = false,
    val processors: Int = 2,
) {
    fun arguments(): List<String> = listOfNotNull(
        "-Xmx${heapMb}m",
        "-XX:+UseSerialGC",
        "-XX:ActiveProcessorCount=$processors",
        "-XX:TieredStopAtLevel=1".takeUnless { usesOptimizingCompiler },
    )
}

/**
 * The child processes of one run. [close] stops each of them with SIGTERM, and with SIGKILL when it has not ended after
 * [STOP_TIMEOUT_MS]. A shutdown hook does the same when this program is interrupted.
 */
internal class ProcessGroup : AutoCloseable {
    /** Temporary directory of logs and generated files; deleted on [close] unless the system property `yuccaflow.keep` is set. */
    val directory: File = Files.createTempDirectory("yuccaflow-").toFile()
    private val processes = mutableListOf<ManagedProcess>()
    private val hook = Thread { terminateAll() }

    init {
        Runtime.getRuntime().addShutdownHook(hook)
    }

    fun start(name: String, program: Program, arguments: List<String>, jvm: JvmOptions = JvmOptions()): ManagedProcess {
        val command = listOf(javaCommand()) + jvm.arguments() + listOf("-jar", program.jar().path) + arguments
        synchronized(processes) {
            val process = ProcessBuilder(command).directory(directory).redirectErrorStream(true).start()
            return ManagedProcess(name, process, File(directory, "$name-${process.pid()}.log")).also { processes += it }
        }
    }

    /** Writes a file into [directory]. */
    fun file(name: String, text: String): File = File(directory, name).also { it.writeText(text) }

    override fun close() {
        terminateAll()
        runCatching { Runtime.getRuntime().removeShutdownHook(hook) }
        if (System.getProperty("yuccaflow.keep") == null) directory.deleteRecursively()
    }

    private fun terminateAll() {
        val started = synchronized(processes) { processes.toList() }
        started.forEach { it.terminate() }
        val deadline = System.nanoTime() + STOP_TIMEOUT_MS * NANOS_PER_MS
        started.forEach { process ->
            val remainingMs = (deadline - System.nanoTime()) / NANOS_PER_MS
            if (process.awaitExit(maxOf(1, remainingMs)) == null) process.kill()
        }
    }

    private fun javaCommand() = File(System.getProperty("java.home"), "bin/java").path

    private companion object {
        const val STOP_TIMEOUT_MS = 5_000L
    }
}

internal const val NANOS_PER_MS = 1_000_000L
