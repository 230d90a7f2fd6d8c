package yuccaflow.http

import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** [HttpClient] on Netty's NIO transport. */
internal class NettyHttpClient(
    private val settings: HttpClientSettings,
) : HttpClient {
    private val pools = ConcurrentHashMap<SocketAddress, ConnectionPool>()

    @Volatile
    private var closed = false

    override suspend fun send(address: SocketAddress, request: HttpRequest, timeoutMs: Long, expectedRequestId: String?): HttpResult {
        if (closed) return HttpResult.NotSent("the client is closed")
        val pool = pools.computeIfAbsent(address) { ConnectionPool(it, settings) }
        val mark = SendMark()
        val result = withTimeoutOrNull(timeoutMs) {
            pool.permits.withPermit { exchange(pool, address, request, expectedRequestId, mark) }
        }
        return result ?: timedOut(address, timeoutMs, mark)
    }

    override suspend fun close() {
        closed = true
        pools.values.forEach { it.close() }
    }

    private suspend fun exchange(
        pool: ConnectionPool,
        address: SocketAddress,
        request: HttpRequest,
        expectedRequestId: String?,
        mark: SendMark,
    ): HttpResult {
        while (true) {
            val pooled = pool.takeIdle()
            val connection = pooled ?: when (val opened = pool.open()) {
                is Opened.Failed -> return HttpResult.NotSent(opened.reason)
                is Opened.Ready -> opened.connection
            }
            val result = exchangeOn(connection, pool, address, request, expectedRequestId, mark)
            if (result != null) return result
            // A pooled connection may have been closed since it was last used; a new one that closes at once is a failure.
            if (pooled == null) return HttpResult.NotSent("$address closed the connection before the request was sent")
        }
    }

    /** Sends on [connection] and returns the result, or null when nothing was sent because it is closed. */
    private suspend fun exchangeOn(
        connection: ClientConnection,
        pool: ConnectionPool,
        address: SocketAddress,
        request: HttpRequest,
        expectedRequestId: String?,
        mark: SendMark,
    ): HttpResult? {
        var reusable = false
        try {
            if (!connection.write(address, request, mark)) return null
            return when (val read = connection.read(request.method)) {
                is ResponseRead.Broken -> HttpResult.Unknown("$address: ${read.reason}")
                is ResponseRead.Complete -> {
                    val answeredId = read.response.headers["X-Request-Id"]
                    if (expectedRequestId != null && answeredId != null && answeredId != expectedRequestId) {
                        HttpResult.Unknown("$address answered request $answeredId instead of $expectedRequestId")
                    } else {
                        reusable = read.reusable
                        HttpResult.Answered(read.response)
                    }
                }
            }
        } finally {
            if (reusable) pool.giveBack(connection) else connection.close()
        }
    }

    private fun timedOut(address: SocketAddress, timeoutMs: Long, mark: SendMark): HttpResult =
        if (mark.abandon()) {
            HttpResult.NotSent("no free connection to $address within $timeoutMs ms")
        } else {
            HttpResult.Unknown("no whole response from $address within $timeoutMs ms")
        }
}
