package yuccaflow.router.settings

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import yuccaflow.http.SocketAddress
import java.nio.file.Files
import java.nio.file.Path

private val MINIMAL =
    """
    [router]
    system = breizh
    host = entry-1
    zone = brest
    caller_listen = 127.0.0.1:8000
    admin_listen = 127.0.0.1:8001
    peer_listen = 127.0.0.1:8002
    [platform]
    log_service = 127.0.0.1:9000
    """.trimIndent()

@DisplayName("Loading settings")
class SettingsLoaderTest {
    @TempDir
    lateinit var directory: Path

    private fun load(text: String): SettingsResult = loadSettings(Files.writeString(directory.resolve("router.ini"), text))

    private fun errors(text: String): List<String> =
        (load(text) as? SettingsResult.Invalid)?.errors.orEmpty().map { it.toString() }

    @Test
    fun `fills in the defaults of a minimal file`() {
        expectThat(load(MINIMAL)).isA<SettingsResult.Loaded>().get { settings }.and {
            get { peerAdvertise }.isEqualTo(SocketAddress("127.0.0.1", 8002))
            get { capacityRequests }.isEqualTo(1_000)
            get { logLevel }.isEqualTo("info")
            get { timing }.isEqualTo(TimingSettings())
        }
    }

    @Test
    fun `reads every section`() {
        val text = MINIMAL +
            """

            host_list = 127.0.0.1:9001
            retention_ms = 60000
            [peers]
            seeds = 127.0.0.1:8002, 127.0.0.2:8002
            [address-translation]
            127.0.0.1:7001 = 127.0.0.1:8001
            127.0.0.1:7002 = 127.0.0.1:8002
            [timing]
            heartbeat_ms = 100
            [log]
            level = debug
            """.trimIndent()
        expectThat(load(text)).isA<SettingsResult.Loaded>().get { settings }.and {
            get { hostList }.isEqualTo(SocketAddress("127.0.0.1", 9001))
            get { seedPeers.map { it.host } }.isEqualTo(listOf("127.0.0.1", "127.0.0.2"))
            get { addressTranslation.entries.map { "${it.key} ${it.value}" } }
                .containsExactlyInAnyOrder("127.0.0.1:7001 127.0.0.1:8001", "127.0.0.1:7002 127.0.0.1:8002")
            get { timing }.isEqualTo(TimingSettings(heartbeatMs = 100, retentionMs = 60_000))
            get { logLevel }.isEqualTo("debug")
        }
    }

    @Test
    fun `reports all errors at once, each with section, key, expected and found value`() {
        val text =
            """
            [router]
            system = two words
            host =
            zone = brest
            caller_listen = localhost:80
            admin_listen = 127.0.0.1:99999
            colour = red
            [platfrom]
            [peers]
            seeds = 127.0.0.1
            [address-translation]
            127.0.0.1:7001 =
            [timing]
            lease_ms = soon
            """.trimIndent()
        expectThat(errors(text)).containsExactlyInAnyOrder(
            "[router] colour: expected one of system, host, zone, caller_listen, admin_listen, peer_listen, peer_advertise, " +
                "capacity_requests, found an unknown key",
            "[router] system: expected a word without white space, found 'two words'",
            "[router] host: expected a word without white space, found an empty value",
            "[router] caller_listen: expected an address of the form IP:PORT, found 'localhost:80'",
            "[router] admin_listen: expected an address of the form IP:PORT, found '127.0.0.1:99999'",
            "[router] peer_listen: expected an address of the form IP:PORT, found nothing",
            "[platfrom]: expected one of the sections router, platform, peers, address-translation, timing, log, found an unknown section",
            "[platform] log_service: expected an address of the form IP:PORT, found nothing",
            "[peers] seeds: expected comma separated addresses of the form IP:PORT, found '127.0.0.1'",
            "[address-translation]: expected lines of the form IP:PORT = IP:PORT, found '127.0.0.1:7001 ='",
            "[timing] lease_ms: expected a whole number from 1 to 600000, found 'soon'",
        )
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "[timing]~lease_ms = 5000 | drift_margin_ms: expected at least 2% of lease_ms (5000), found 60",
            "[timing]~grant_renew_ms = 1200 | grant_renew_ms: expected less than lease_ms (1200), found 1200",
            "[timing]~heartbeat_ms = 600 | heartbeat_ms: expected less than suspect_after_ms (600), found 600",
            "[timing]~heartbeat_ms = 1~heartbeat_ms = 2 | heartbeat_ms: expected the key once, found it 2 times",
            "[log]~level = loud | level: expected one of trace, debug, info, warn, error, off, found 'loud'",
            "[log]~[log] | [log]: expected the section once, found it 2 times",
            "[router]~zone = rennes | [router]: expected the section once, found it 2 times",
            "not a setting | [platform] not a setting: expected one of log_service, host_list, retention_ms, found an unknown key",
        ],
    )
    fun `rejects values that contradict each other or are given twice`(addition: String, error: String) {
        expectThat(errors(MINIMAL + "\n" + addition.replace('~', '\n')).joinToString("\n")).contains(error)
    }

    @Test
    fun `requires an advertised address when it listens on all addresses`() {
        expectThat(errors(MINIMAL.replace("peer_listen = 127.0.0.1", "peer_listen = 0.0.0.0")).single())
            .contains("[router] peer_advertise: expected the address under which other routers reach this one")
    }

    @Test
    fun `rejects a file that cannot be read`() {
        expectThat(loadSettings(directory.resolve("missing.ini"))).isA<SettingsResult.Invalid>()
    }
}
