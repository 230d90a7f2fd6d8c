package yuccaflow.http

import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

@DisplayName("An HTTP server whose event loop is busy")
class BusyEventLoopTest {
    private val group = newEventLoops(1)
    private val eventLoop = group.next()
    private val handled = CopyOnWriteArrayList<String>()
    private val server =
        NettyHttpServer(
            SocketAddress("127.0.0.1", 0),
            eventLoop.asCoroutineDispatcher(),
            { HttpServerLimits() },
            { request ->
                handled += request.target
                HttpResponse(OK)
            },
            group,
        )

    @AfterEach
    fun stop() {
        runBlocking { server.close(0) }
        group.shutdownGracefully()
    }

    /** Lets the event loop stand still while [block] runs. */
    private fun whileBusy(block: () -> Unit) {
        val hasBegun = CountDownLatch(1)
        val isDone = CountDownLatch(1)
        eventLoop.execute {
            hasBegun.countDown()
            isDone.await()
        }
        hasBegun.await()
        block()
        isDone.countDown()
    }

    /** Guards against targets that work for callers who left while their requests waited to be read (GONE). */
    @Test
    fun `does not handle a request whose caller has closed the connection before it is read`() {
        val caller = RawHttpClient(server.address)
        caller.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n").response()
        whileBusy {
            caller.send("GET /left HTTP/1.1\r\nHost: h\r\n\r\n")
            caller.close()
            Thread.sleep(DELIVERY_MS)
        }
        RawHttpClient(server.address).use { it.send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n").response() }
        expectThat(handled.toList()).containsExactly("/first", "/last")
    }

    /** Guards against the same if the caller closes after the request was read, while it waits behind the work for other requests. */
    @Test
    fun `does not handle a request whose caller has closed the connection while many tasks are due`() {
        val caller = RawHttpClient(server.address)
        caller.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n").response()
        val mayLeave = CountDownLatch(1)
        whileBusy {
            caller.send("GET /left HTTP/1.1\r\nHost: h\r\n\r\n")
            repeat(DUE_TASKS) { number ->
                eventLoop.execute {
                    if (number == LEAVES_AT_TASK) mayLeave.countDown()
                    Thread.sleep(TASK_MS)
                }
            }
            Thread.sleep(DELIVERY_MS)
        }
        mayLeave.await()
        caller.close()
        RawHttpClient(server.address).use { it.send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n").response() }
        expectThat(handled.toList()).containsExactly("/first", "/last")
    }

    /** Guards against a process that lives on and answers nothing after the thread of its event loop has failed (review cases 2 and 3). */
    @Test
    fun `reports that the event loop has ended`() {
        val hasEnded = CountDownLatch(1)
        val ending = newEventLoops(2)
        ending.onLoopEnd { hasEnded.countDown() }
        ending.next().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
        expectThat(hasEnded.await(END_NOTICED_S, TimeUnit.SECONDS)).isTrue()
    }

    private companion object {
        const val OK = 200
        const val END_NOTICED_S = 10L

        // Longer together than the time for which an event loop runs tasks in a row by default.
        const val DUE_TASKS = 400
        const val TASK_MS = 5L

        /** Some tasks before the end, so that the event loop looks at the network in between. */
        const val LEAVES_AT_TASK = 290

        /** Time for bytes and the close to arrive over loopback. */
        const val DELIVERY_MS = 100L
    }
}
