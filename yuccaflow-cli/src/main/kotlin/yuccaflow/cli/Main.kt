package yuccaflow.cli

import kotlinx.coroutines.runBlocking
import yuccaflow.base.systemTimerService
import yuccaflow.external.httpLogService
import yuccaflow.http.HttpClientSettings
import yuccaflow.http.httpClient
import kotlin.system.exitProcess

/** Allows for the largest read of the log, whose response holds many records encoded in Base64. */
private const val BODY_LIMIT_BYTES = 64 * 1024 * 1024

/** Entry point of `yuccactl`. */
fun main(arguments: Array<String>) {
    val client = httpClient(HttpClientSettings(bodyLimitBytes = BODY_LIMIT_BYTES))
    val program = Yuccactl(System.out, System.err, client, systemTimerService()) { httpLogService(client, it) }
    exitProcess(runBlocking { program.run(arguments.toList()) }.code)
}
