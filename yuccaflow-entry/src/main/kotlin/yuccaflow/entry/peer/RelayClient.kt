package yuccaflow.entry.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.keys.FencedKeyRange
import yuccaflow.entry.keys.KeyGrantClient
import yuccaflow.entry.keys.KeyGrantResult
import yuccaflow.entry.keys.TargetEndpoint
import yuccaflow.entry.keys.balance.KeyLoadTracker
import yuccaflow.entry.keys.find
import yuccaflow.http.HttpClient
import yuccaflow.http.HttpHandler
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResponse
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.TransferLimits
import yuccaflow.http.headersOf

private const val RELAY_PATH = "/relay"
private const val OK = 200
private const val BAD_REQUEST = 400

/** Longest pause within an answer. */
private const val STALL_LIMIT_MS = 700L

/** Time for the largest answer on a link that is nearly full. */
private const val TRANSFER_LIMIT_MS = 10_000L

/** Time for the target to complete the requests in flight for the keys. */
private const val RELEASE_TIMEOUT_MS = 1_000L

@OptIn(ExperimentalSerializationApi::class)
private val CBOR = Cbor { ignoreUnknownKeys = true }

/** Sends [RelayCall]s to other routers. */
internal class RelayClient(
    private val client: HttpClient,
) {
    /** Sends [call] to the relay address [peer] of another router. Failures are returned as an answer. */
    @OptIn(ExperimentalSerializationApi::class)
    suspend fun send(peer: SocketAddress, call: RelayCall, timeoutMs: Long): RelayAnswer {
        val body = CBOR.encodeToByteArray(RelayCall.serializer(), call)
        val request = HttpRequest("POST", RELAY_PATH, headersOf("Content-Type" to "application/cbor"), body)
        // Answers with records may be large for the links of both routers.
        val result = when (call) {
            is RelayCall.Read, is RelayCall.Snapshot, is RelayCall.RouterRecords ->
                client.transfer(peer, request, TransferLimits(timeoutMs, stallMs = STALL_LIMIT_MS, totalMs = TRANSFER_LIMIT_MS))
            else -> client.send(peer, request, timeoutMs)
        }
        return when (result) {
            is HttpResult.NotSent -> RelayAnswer.NotServed
            is HttpResult.Unknown -> RelayAnswer.Unknown(result.reason)
            is HttpResult.Answered -> decode(result.response)
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun decode(response: HttpResponse): RelayAnswer {
        if (response.status != OK) return RelayAnswer.Unknown("status ${response.status}")
        return try {
            CBOR.decodeFromByteArray(RelayAnswer.serializer(), response.body)
        } catch (invalid: Exception) {
            // The decoder throws other exceptions than SerializationException too, such as for a truncated number.
            RelayAnswer.Unknown("the answer cannot be decoded: ${invalid.message}")
        }
    }
}

/**
 * Returns the handler of other routers' [RelayCall]s: makes their store calls through [storeAccess] while the store is available to this
 * router, adds what they report to [keyLoadTracker], [directory] and [positions], releases keys at targets through [keyGrantClient], and
 * answers as [planner].
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun relayHandler(
    storeAccess: DirectStoreAccess,
    keyLoadTracker: KeyLoadTracker,
    directory: TargetDirectory,
    positions: StreamPositions,
    keyGrantClient: KeyGrantClient,
    planner: PlannerEndpoint,
): HttpHandler = HttpHandler { request ->
    val call = try {
        CBOR.decodeFromByteArray(RelayCall.serializer(), request.body)
    } catch (invalid: Exception) {
        return@HttpHandler HttpResponse(BAD_REQUEST, body = invalid.message.orEmpty().toByteArray())
    }
    val answer = when {
        call is RelayCall.KeySamples -> {
            keyLoadTracker.addReport(call.node, call.keys)
            keyLoadTracker.serviceTimes.addReport(call.serviceTimes)
            call.leaving.forEach { holder -> directory.find(holder)?.let { directory.recordLeaving(it, saidAfterMs = null) } }
            positions.learn(call.positions)
            RelayAnswer.Positions(positions.current())
        }
        call is RelayCall.Release -> release(keyGrantClient, call)
        call is RelayCall.PlannerState -> RelayAnswer.PlannerState(planner.isActing(call.life))
        call is RelayCall.RouterRecords -> planner.read(call.fromOffset, call.waitMs)
        storeAccess.isAvailable -> storeAccess.execute(call)
        else -> RelayAnswer.NotServed
    }
    HttpResponse(OK, headersOf("Content-Type" to "application/cbor"), CBOR.encodeToByteArray(RelayAnswer.serializer(), answer))
}

private suspend fun release(keyGrantClient: KeyGrantClient, call: RelayCall.Release): RelayAnswer {
    val address = SocketAddress.parseOrNull(call.address) ?: return RelayAnswer.Unknown("no address: ${call.address}")
    val range = FencedKeyRange(call.from, call.to, call.generation)
    return when (val result = keyGrantClient.release(TargetEndpoint(call.target, address, call.zone), range, RELEASE_TIMEOUT_MS)) {
        is KeyGrantResult.Done -> RelayAnswer.Released(result.handover)
        is KeyGrantResult.OtherTarget -> RelayAnswer.OtherTarget(result.target)
        else -> RelayAnswer.Unknown(result.toString())
    }
}

private suspend fun DirectStoreAccess.execute(call: RelayCall): RelayAnswer = when (call) {
    is RelayCall.Snapshot -> snapshot(call.stream).toAnswer()
    is RelayCall.Read -> read(call.stream, call.fromOffset, call.waitMs).toAnswer()
    is RelayCall.Append -> append(call.stream, call.changes.toChanges(), call.expectedEndOffset).toAnswer()
    is RelayCall.Join -> join(call.member, call.generation, call.ttlMs).toAnswer()
    is RelayCall.Leave -> {
        leave(call.member)
        RelayAnswer.Done
    }
    is RelayCall.KeySamples, is RelayCall.Release, is RelayCall.PlannerState, is RelayCall.RouterRecords -> RelayAnswer.NotServed
    RelayCall.Members -> members()?.let { RelayAnswer.MemberList(it) } ?: RelayAnswer.NotServed
}
