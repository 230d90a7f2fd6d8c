package yuccaflow.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import yuccaflow.http.SocketAddress

class LoadPlanTest {
    /** Without probes, the load generator would keep sending to a router whose `/ready` fails, which a load balancer would not do. */
    @Test
    fun `the arguments contain the probe address of each entry`() {
        val plan = LoadPlan(addresses(1, 2), probes = addresses(3, 4), mix = emptyList(), rate = 1.0, seed = 1)
        val arguments = plan.arguments(addresses(5).single(), "mix.json")
        expectThat(arguments).get { this[indexOf("--probes") + 1] }.isEqualTo("127.0.0.1:3,127.0.0.1:4")
    }

    private fun addresses(vararg ports: Int) = ports.map { SocketAddress("127.0.0.1", it) }
}
