package yuccaflow.entry

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import yuccaflow.entry.config.CallerLimits
import yuccaflow.entry.config.RoutingTable

@DisplayName("The limits of the server for callers")
internal class CallerServerLimitsTest {
    private var table: RoutingTable? = null
    private val limits = CallerServerLimits("X-Id") { table }

    private fun tableWith(bodyBytes: Int) = RoutingTable(
        version = 1,
        routes = persistentListOf(),
        services = persistentMapOf(),
        callerLimits = CallerLimits(headerBytes = 8_192, bodyBytes, requestTimeoutMs = 1_000, idleTimeoutMs = 9_000),
    )

    /** Guards against proper requests that are refused for good because the router has not read the operators' limits yet. */
    @Test
    fun `are wide before the first table`() {
        val first = tableWith(67_108_864).callerLimits
        expectThat(limits.current()) {
            get { bodyLimitBytes }.isGreaterThan(first.bodyBytes)
            get { headerLimitBytes }.isGreaterThan(first.headerBytes)
            get { requestLineLimitBytes }.isGreaterThan(first.headerBytes)
        }
    }

    @Test
    fun `are those of the latest table`() {
        for (bodyBytes in listOf(65_536, 4_096)) {
            table = tableWith(bodyBytes)
            expectThat(limits.current()) {
                get { bodyLimitBytes }.isEqualTo(bodyBytes)
                get { headerLimitBytes }.isEqualTo(8_192)
                get { idleTimeoutMs }.isEqualTo(9_000)
                get { requestIdHeader }.isEqualTo("X-Id")
            }
        }
    }
}
