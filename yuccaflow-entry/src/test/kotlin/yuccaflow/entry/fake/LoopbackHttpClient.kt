package yuccaflow.entry.fake

import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.KeyGrantClient
import yuccaflow.entry.keys.KeyGrantResult
import yuccaflow.entry.keys.TargetEndpoint
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
        prepare: (HttpRequest) -> HttpRequest?,
    ) =
        HttpResult.Answered(handler.handle(request))

    override suspend fun close() = Unit
}

/** Answers no grant and completes every release. */
internal class StubKeyGrantClient(
    private val releaseResult: KeyGrantResult = KeyGrantResult.Done("token"),
) : KeyGrantClient {
    override suspend fun grant(
        target: TargetEndpoint,
        range: FencedKeyRange,
        grantDurationMs: Long,
        handover: String?,
        timeoutMs: Long,
        maySend: () -> Boolean,
    ) =
        KeyGrantResult.NoAnswer("not used")

    override suspend fun release(target: TargetEndpoint, range: FencedKeyRange, timeoutMs: Long) = releaseResult
}
