package yuccaflow.router.peer

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contentEquals
import strikt.assertions.isA
import yuccaflow.base.TimerService
import yuccaflow.control.RouterId
import yuccaflow.http.SocketAddress
import yuccaflow.router.settings.RouterSettings
import yuccaflow.router.settings.TimingSettings

class PeerTransportOverTcpTest {
    @Test
    fun `a large message and its answer pass over TCP to the translated address`() = runBlocking {
        val b =
            node(
                "b",
                emptyMap(),
            ) { _, message ->
                PeerMessage.ReadLogAnswer(
                    listOf(PeerLogRecord(1, (message as PeerMessage.AppendLog).data)),
                    1,
                    2,
                    false,
                    null,
                )
            }
        val advertised = SocketAddress("192.0.2.1", 7001)
        val a = node("a", mapOf(advertised to b.address)) { _, _ -> PeerMessage.Failure("unused") }
        val runs = listOf(launch { a.run() }, launch { b.run() })
        val data = ByteArray(1_500_000) { it.toByte() }
        val result = a.call(advertised, PeerMessage.AppendLog("control", data), 30_000)
        expectThat(result)
            .isA<PeerResult.Answered>()
            .get { message }
            .isA<PeerMessage.ReadLogAnswer>()
            .get { records.single().data }
            .contentEquals(data)
        runs.forEach { it.cancel() }
    }

    private suspend fun node(id: String, translation: Map<SocketAddress, SocketAddress>, handler: PeerHandler): PeerTransport =
        peerTransport(settings(id, translation), { RouterId(id) }, { true }, handler, SimpleMeterRegistry(), MonotonicTimer)

    private fun settings(host: String, translation: Map<SocketAddress, SocketAddress>): RouterSettings {
        val any = SocketAddress("127.0.0.1", 0)
        return RouterSettings("test", host, "z", any, any, any, any, any, null, emptyList(), translation, 10, "info", TimingSettings())
    }

    private object MonotonicTimer : TimerService {
        override fun nowMs() = System.nanoTime() / 1_000_000

        override fun every(periodMs: Long) =
            flow {
                while (true) {
                    delay(periodMs)
                    emit(nowMs())
                }
            }

        override suspend fun sleep(durationMs: Long) = delay(durationMs)
    }
}
