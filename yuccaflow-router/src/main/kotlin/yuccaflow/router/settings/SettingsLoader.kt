package yuccaflow.router.settings

import org.ini4j.Config
import org.ini4j.Ini
import org.ini4j.InvalidFileFormatException
import yuccaflow.base.SettingsError
import yuccaflow.base.SettingsSection
import yuccaflow.http.SocketAddress
import java.io.IOException
import java.io.StringReader
import java.nio.file.Files
import java.nio.file.Path

private const val ROUTER = "router"
private const val PLATFORM = "platform"
private const val PEERS = "peers"
private const val ADDRESS_TRANSLATION = "address-translation"
private const val TIMING = "timing"
private const val LOG = "log"
private val SECTION_NAMES = setOf(ROUTER, PLATFORM, PEERS, ADDRESS_TRANSLATION, TIMING, LOG)
private val LOG_LEVELS = setOf("trace", "debug", "info", "warn", "error", "off")
private val DURATION_RANGE_MS = 1L..600_000L
private val RETENTION_RANGE_MS = 1_000L..Long.MAX_VALUE
private val CAPACITY_RANGE = 1L..1_000_000L
private const val DEFAULT_CAPACITY = 1_000L

/** The lease rules assume that clock rates differ by less than 2 percent, so the margin must be at least 1/50 of the lease. */
private const val MAX_LEASE_TO_DRIFT_MARGIN = 50

/** Loads and validates one settings file. An instance can be used only once, because it collects the errors of the file. */
internal class SettingsLoader {
    private val errors = mutableListOf<SettingsError>()

    fun load(path: Path): SettingsResult {
        val ini = parse(path)
        val settings = ini?.let { settings(it) }
        return if (settings == null || errors.isNotEmpty()) SettingsResult.Invalid(errors) else SettingsResult.Loaded(settings)
    }

    private fun parse(path: Path): Ini? {
        val ini = Ini()
        ini.config = Config().apply {
            isEscape = false
            isTree = false
            isInclude = false
            isEmptyOption = true
            isMultiSection = true
            isMultiOption = true
        }
        return try {
            ini.apply { load(StringReader(Files.readString(path))) }
        } catch (failure: InvalidFileFormatException) {
            errors += SettingsError(null, null, "sections with lines of the form key = value", failure.message.orEmpty())
            null
        } catch (failure: IOException) {
            errors += SettingsError(null, null, "a readable UTF-8 text file", "$path: ${failure.javaClass.simpleName}")
            null
        }
    }

    private fun settings(ini: Ini): RouterSettings? {
        for (name in ini.keys) {
            if (name !in SECTION_NAMES) {
                errors += SettingsError(name, null, "one of the sections ${SECTION_NAMES.joinToString()}", "an unknown section")
            }
            val count = ini.getAll(name).size
            if (count > 1) errors += SettingsError(name, null, "the section once", "it $count times")
        }
        val section = { name: String -> SettingsSection(name, ini[name], errors) }
        val platform = section(PLATFORM).apply { expectKeys(setOf("log_service", "host_list", "retention_ms")) }
        val log = section(LOG).apply { expectKeys(setOf("level")) }
        val timing = timing(section(TIMING), platform)
        val seeds = seeds(section(PEERS))
        val translation = addressTranslation(section(ADDRESS_TRANSLATION))
        val logService = platform.address("log_service")
        val hostList = platform.optionalAddress("host_list")
        val level = log.optional("level", "one of ${LOG_LEVELS.joinToString()}") { text -> text.takeIf { it in LOG_LEVELS } } ?: "info"
        return router(section(ROUTER))?.let { router ->
            RouterSettings(
                system = router.system,
                host = router.host,
                zone = router.zone,
                callerListen = router.callerListen,
                adminListen = router.adminListen,
                peerListen = router.peerListen,
                peerAdvertise = router.peerAdvertise,
                logService = logService ?: return null,
                hostList = hostList,
                seedPeers = seeds,
                addressTranslation = translation,
                capacityRequests = router.capacityRequests,
                logLevel = level,
                timing = timing,
            )
        }
    }

    private class RouterSection(
        val system: String,
        val host: String,
        val zone: String,
        val callerListen: SocketAddress,
        val adminListen: SocketAddress,
        val peerListen: SocketAddress,
        val peerAdvertise: SocketAddress,
        val capacityRequests: Int,
    )

    private fun router(section: SettingsSection): RouterSection? {
        section.expectKeys(
            setOf("system", "host", "zone", "caller_listen", "admin_listen", "peer_listen", "peer_advertise", "capacity_requests"),
        )
        val words = listOf("system", "host", "zone").map(section::word)
        val listens = listOf("caller_listen", "admin_listen", "peer_listen").map(section::address)
        val advertise = section.optionalAddress("peer_advertise") ?: listens.last()
        val capacity = section.number("capacity_requests", CAPACITY_RANGE, DEFAULT_CAPACITY)
        listens.filterNotNull().filter { it.port != 0 }.groupBy { it }.filterValues { it.size > 1 }.keys.forEach {
            section.addError("caller_listen, admin_listen, peer_listen", "different addresses", "$it more than once")
        }
        if (advertise != null && advertise.host in WILDCARDS) {
            section.addError("peer_advertise", "the address under which other routers reach this one", "$advertise")
        }
        val (system, host, zone) = words
        val (caller, admin, peer) = listens
        if (system == null || host == null || zone == null) return null
        if (caller == null || admin == null || peer == null) return null
        if (advertise == null) return null
        return RouterSection(system, host, zone, caller, admin, peer, advertise, capacity.toInt())
    }

    private fun timing(section: SettingsSection, platform: SettingsSection): TimingSettings {
        section.expectKeys(setOf("heartbeat_ms", "lease_ms", "drift_margin_ms", "suspect_after_ms", "grant_renew_ms", "stop_drain_ms"))
        val defaults = TimingSettings()
        val timing = TimingSettings(
            heartbeatMs = section.number("heartbeat_ms", DURATION_RANGE_MS, defaults.heartbeatMs),
            leaseMs = section.number("lease_ms", DURATION_RANGE_MS, defaults.leaseMs),
            driftMarginMs = section.number("drift_margin_ms", DURATION_RANGE_MS, defaults.driftMarginMs),
            suspectAfterMs = section.number("suspect_after_ms", DURATION_RANGE_MS, defaults.suspectAfterMs),
            grantRenewMs = section.number("grant_renew_ms", DURATION_RANGE_MS, defaults.grantRenewMs),
            retentionMs = platform.number("retention_ms", RETENTION_RANGE_MS, defaults.retentionMs),
            stopDrainMs = section.number("stop_drain_ms", DURATION_RANGE_MS, defaults.stopDrainMs),
        )
        expectBelow(section, "heartbeat_ms" to timing.heartbeatMs, "suspect_after_ms" to timing.suspectAfterMs)
        expectBelow(section, "suspect_after_ms" to timing.suspectAfterMs, "lease_ms" to timing.leaseMs)
        expectBelow(section, "grant_renew_ms" to timing.grantRenewMs, "lease_ms" to timing.leaseMs)
        if (timing.driftMarginMs * MAX_LEASE_TO_DRIFT_MARGIN < timing.leaseMs) {
            section.addError("drift_margin_ms", "at least 2% of lease_ms (${timing.leaseMs})", "${timing.driftMarginMs}")
        }
        return timing
    }

    private fun expectBelow(section: SettingsSection, lower: Pair<String, Long>, upper: Pair<String, Long>) {
        if (lower.second >= upper.second) section.addError(lower.first, "less than ${upper.first} (${upper.second})", "${lower.second}")
    }

    private fun seeds(section: SettingsSection): List<SocketAddress> {
        section.expectKeys(setOf("seeds"))
        val expected = "comma separated addresses of the form IP:PORT"
        return section.optional("seeds", expected) { text ->
            val parsed = text
                .split(',')
                .map { it.trim() }
                .filter { it.isNotEmpty() }
                .map(SocketAddress::parseOrNull)
            parsed.filterNotNull().takeIf { it.size == parsed.size }
        } ?: emptyList()
    }

    /** The INI library ends a key at its first colon, so each line is reassembled before it is split at the equals sign. */
    private fun addressTranslation(section: SettingsSection): Map<SocketAddress, SocketAddress> {
        val translation = mutableMapOf<SocketAddress, SocketAddress>()
        for (line in section.lines()) {
            val advertised = SocketAddress.parseOrNull(line.substringBefore('=').trim())
            val reachable = SocketAddress.parseOrNull(line.substringAfter('=', "").trim())
            when {
                advertised == null || reachable == null -> section.addError(null, "lines of the form IP:PORT = IP:PORT", "'$line'")
                translation.put(advertised, reachable) != null -> section.addError("$advertised", "the address once", "it more than once")
            }
        }
        return translation
    }

    private companion object {
        val WILDCARDS = setOf("0.0.0.0", "::")
    }
}
