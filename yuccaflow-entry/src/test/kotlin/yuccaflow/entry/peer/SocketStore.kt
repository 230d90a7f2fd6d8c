package yuccaflow.entry.peer

import kotlinx.coroutines.CoroutineDispatcher
import yuccaflow.entry.store.JoinResult
import yuccaflow.entry.store.KeyedAppendResult
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.entry.store.KeyedStore
import yuccaflow.entry.store.KeyedStream
import yuccaflow.entry.store.RouterGroup
import yuccaflow.entry.store.SnapshotResult
import yuccaflow.entry.store.StreamReadResult
import yuccaflow.http.HttpRequest
import yuccaflow.http.HttpResult
import yuccaflow.http.SocketAddress
import yuccaflow.http.httpClient
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.coroutines.EmptyCoroutineContext

/** A store whose reads go over a socket and wait until the test answers them. Its streams are empty at first. */
internal class SocketStore :
    KeyedStore,
    AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val waitingRead = CompletableFuture<Socket>()
    val client = httpClient()

    init {
        thread(isDaemon = true) { runCatching { waitingRead.complete(listener.accept().also(::readRequest)) } }
    }

    /** Waits until a read has arrived. */
    fun awaitRead() {
        waitingRead.get(LIMIT_S, TimeUnit.SECONDS)
    }

    /** Answers the first read with one record. */
    fun answerWithRecord() = waitingRead.get().getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1".toByteArray())

    override suspend fun snapshot(stream: KeyedStream, onArriving: () -> Unit) = SnapshotResult.Snapshot(emptyList(), 0)

    override suspend fun read(stream: KeyedStream, fromOffset: Long, waitMs: Long, onArriving: (Long) -> Unit): StreamReadResult {
        val address = SocketAddress("127.0.0.1", listener.localPort)
        val result = client.send(address, HttpRequest("GET", "/read"), TimeUnit.SECONDS.toMillis(LIMIT_S))
        if (result !is HttpResult.Answered) return StreamReadResult.Failed(result.toString())
        return StreamReadResult.Read(listOf(KeyedRecord("key", null, fromOffset)), fromOffset + 1)
    }

    override suspend fun append(stream: KeyedStream, changes: List<KeyedChange>, expectedEndOffset: Long?) =
        KeyedAppendResult.NotAppended("not used")

    override fun close() {
        listener.close()
        waitingRead.getNow(null)?.close()
    }

    private fun readRequest(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader()
        while (reader.readLine().isNotEmpty()) Unit
    }

    private companion object {
        const val BACKLOG = 50
        const val LIMIT_S = 20L
    }
}

/** A group that cannot be joined. */
internal object StubRouterGroup : RouterGroup {
    override suspend fun join(member: String, generation: Long, ttlMs: Long) = JoinResult.Failed("not used")

    override suspend fun members(): Set<String>? = null

    override suspend fun leave(member: String) = Unit
}

/** Keeps an event loop busy with tasks and counts how many times it has carried out all that were due. */
internal class TurnCounter(
    private val dispatcher: CoroutineDispatcher,
) {
    @Volatile
    private var isStopped = false

    /** The number of turns since [start]. Read on the event loop. */
    var count = 0
        private set

    /** Begins the first turn. Called on the event loop. */
    fun start() {
        repeat(TASKS_PER_TURN) { dispatcher.dispatch(EmptyCoroutineContext) { } }
        dispatcher.dispatch(EmptyCoroutineContext) {
            count++
            if (!isStopped) start()
        }
    }

    fun stop() {
        isStopped = true
    }

    private companion object {
        /** More tasks than an event loop carries out between two looks at the clock, so that it looks at the network in each turn. */
        const val TASKS_PER_TURN = 100
    }
}
