package yuccaflow.bench

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.File
import java.io.IOException
import java.io.Writer
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** A child process. Its output is written to [log] and passed line by line to the listeners. */
internal class ManagedProcess(
    val name: String,
    private val process: Process,
    val log: File,
) {
    private val listeners = CopyOnWriteArrayList<(String) -> Unit>()

    @Volatile
    private var firstLine: String? = null

    val pid: Long get() = process.pid()
    val isAlive: Boolean get() = process.isAlive

    /** Exit status, or null while the process runs. */
    val exitStatus: Int? get() = if (process.isAlive) null else process.exitValue()

    /** CPU time that the process has used. */
    val cpuMs: Long get() = process
        .info()
        .totalCpuDuration()
        .map { it.toMillis() }
        .orElse(0)

    /** Bytes that the process has read and written. Nearly all of them went through sockets, since it writes no files. */
    fun ioBytes(): Long = procValues("io").filterKeys { it == "rchar" || it == "wchar" }.values.sum()

    /** Resident set size. */
    fun residentBytes(): Long = (procValues("status")["VmRSS"] ?: 0) * BYTES_PER_KB

    private fun procValues(file: String): Map<String, Long> = File("/proc/$pid/$file").readLines().associate { line ->
        line.substringBefore(':') to (
            line
                .substringAfter(':')
                .trim()
                .substringBefore(' ')
                .toLongOrNull() ?: 0
        )
    }

    init {
        thread(isDaemon = true, name = "output-$name") {
            try {
                log.bufferedWriter().use(::copyOutput)
            } catch (_: IOException) {
                // Killing the process closes its output while this thread reads it.
            }
        }
    }

    private fun copyOutput(writer: Writer) {
        process.inputStream.bufferedReader().forEachLine { line ->
            writer.appendLine(line)
            writer.flush()
            if (firstLine == null && line.startsWith("{\"standin\"")) firstLine = line
            listeners.forEach { it(line) }
        }
    }

    fun addLineListener(listener: (String) -> Unit) {
        listeners += listener
    }

    /** Waits until the stand-in prints the line with its addresses; fails when it ends or takes too long. */
    suspend fun awaitReady() {
        val ready = withTimeoutOrNull(READY_TIMEOUT_MS) {
            while (firstLine == null && isAlive) delay(POLL_MS)
        }
        check(ready != null && firstLine != null) { "$name did not start within $READY_TIMEOUT_MS ms, see ${log.name}:\n${logTail()}" }
    }

    /** Sends the signal with the given name, for example `STOP` or `KILL`. */
    fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", pid.toString()).inheritIO().start().waitFor()
    }

    /** Waits up to [timeoutMs] for the process to end. Returns its exit status, or null when it is still running. */
    fun awaitExit(timeoutMs: Long): Int? = if (process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) process.exitValue() else null

    /** Sends SIGTERM. A suspended process is resumed first, since it could not handle the signal. */
    fun terminate() {
        if (!isAlive) return
        signal("CONT")
        process.destroy()
    }

    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    fun logTail(): String = if (log.exists()) log.readLines().takeLast(TAIL_LINES).joinToString("\n") else ""

    private companion object {
        const val READY_TIMEOUT_MS = 30_000L
        const val POLL_MS = 20L
        const val BYTES_PER_KB = 1_024L
        const val TAIL_LINES = 20
    }
}
