package yuccaflow.entry.fake

import yuccaflow.entry.keys.KeyOrderResult
import yuccaflow.entry.keys.KeyOrders
import yuccaflow.entry.keys.KeySpan
import yuccaflow.entry.keys.OrderAddress
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress

/** Passes every request to [handler] without a network. */
internal class LoopbackHttpClient(
    private val handler: HttpHandler,
) : HttpClient {
    override suspend fun send(
        address: SocketAddress,
        request: HttpRequest,
        timeoutMs: Long,
        expectedRequestId: String?,
        maySend: () -> Boolean,
    ) =
        HttpResult.Answered(handler.handle(request))

    override suspend fun close() = Unit
}

/** Answers no grant and completes every release. */
internal object StubKeyGrantClient : KeyOrders {
    override suspend fun grant(
        target: OrderAddress,
        span: KeySpan,
        holdMs: Long,
        handover: String?,
        timeoutMs: Long,
        maySend: () -> Boolean,
    ) =
        KeyOrderResult.NoAnswer("not used")

    override suspend fun release(target: OrderAddress, span: KeySpan, timeoutMs: Long) = KeyOrderResult.Done("token")
}
