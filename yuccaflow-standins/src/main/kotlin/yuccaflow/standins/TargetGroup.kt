package yuccaflow.standins

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.jsonPrimitive
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpServer
import yuccaflow.http.SocketAddress
import yuccaflow.http.httpServer

/** The simulated targets of one process, on consecutive ports and with a common control address. */
internal class TargetGroup(
    specs: List<TargetSpec>,
    private val first: SocketAddress,
    seed: Long,
) : HttpHandler {
    private val runRecorder = RunRecorder()
    private val targets = specs.mapIndexed { index, spec -> TargetStandin(spec, runRecorder, seed + index) }
    private val servers = arrayOfNulls<HttpServer>(specs.size)
    private val listenersMutex = Mutex()

    /** Addresses by target name. */
    val addresses: Map<String, String> = specs.mapIndexed { index, spec -> spec.name to addressAt(index).toString() }.toMap()

    suspend fun start() {
        targets.indices.forEach { listen(it) }
    }

    /**
     * `POST /switches` takes `{"targets": [names], ...}` and applies to all targets when `targets` is missing. `GET /runs` returns a
     * [RunSummary], `GET /owners` the [OwnedInterval]s of each key.
     */
    override suspend fun handle(request: HttpRequest): HttpResponse = rejectingMalformedRequests {
        when (request.path) {
            "/switches" -> {
                if (request.method == "POST") patch(request)
                jsonResponse(OK, targets.associate { it.spec.name to it.currentSwitches })
            }

            "/runs" -> jsonResponse(OK, runRecorder.summary())

            "/owners" -> jsonResponse(OK, runRecorder.intervals())

            else -> notFound()
        }
    }

    private suspend fun patch(request: HttpRequest): Unit = listenersMutex.withLock {
        val body = request.jsonBody()
        val names = (body["targets"] as? JsonArray)?.map { it.jsonPrimitive.content }?.toSet()
        targets.forEachIndexed { index, target ->
            if (names == null || target.spec.name in names) {
                val updated = target.patch(body)
                if (updated.down) {
                    servers[index]?.close(0)
                    servers[index] = null
                } else if (servers[index] == null) {
                    listen(index)
                }
            }
        }
    }

    private suspend fun listen(index: Int) {
        servers[index] = httpServer(addressAt(index), StandinLimits, targets[index])
    }

    private fun addressAt(index: Int) = SocketAddress(first.host, first.port + index)
}
