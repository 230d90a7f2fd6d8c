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

/** The targets of one process on consecutive ports, with one control address for all of them. */
internal class TargetsProcess(
    specs: List<TargetSpec>,
    private val first: SocketAddress,
    seed: Long,
) : HttpHandler {
    private val book = RunBook()
    private val targets = specs.mapIndexed { index, spec -> TargetStandin(spec, book, seed + index) }
    private val servers = arrayOfNulls<HttpServer>(specs.size)
    private val listeners = Mutex()

    /** Addresses by target name. */
    val addresses: Map<String, String> = specs.mapIndexed { index, spec -> spec.name to addressAt(index).toString() }.toMap()

    suspend fun start() {
        targets.indices.forEach { listen(it) }
    }

    /**
     * `POST /switches` takes `{"targets": [names], ...}`; without `targets` it applies to all. `GET /runs` gives a [RunSummary],
     * `GET /owners` the [OwnedInterval]s of each key.
     */
    override suspend fun handle(request: HttpRequest): HttpResponse = answeringMistakes {
        when (request.path) {
            "/switches" -> {
                if (request.method == "POST") patch(request)
                jsonResponse(OK, targets.associate { it.spec.name to it.now })
            }

            "/runs" -> jsonResponse(OK, book.summary())

            "/owners" -> jsonResponse(OK, book.intervals())

            else -> notFound()
        }
    }

    private suspend fun patch(request: HttpRequest): Unit = listeners.withLock {
        val body = request.jsonBody()
        val names = (body["targets"] as? JsonArray)?.map { it.jsonPrimitive.content }?.toSet()
        targets.forEachIndexed { index, target ->
            if (names == null || target.spec.name in names) {
                val set = target.patch(body)
                if (set.down) {
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
