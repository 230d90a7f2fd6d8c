package yuccaflow.entry.fake

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import yuccaflow.entry.config.CallerLimits
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.config.ServiceConfig
import yuccaflow.entry.config.ServiceShare
import yuccaflow.entry.directory.OperatorRecord
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.directory.TargetEntry
import yuccaflow.entry.directory.TargetRecord
import yuccaflow.entry.store.KeyedChange
import yuccaflow.entry.store.KeyedRecord
import yuccaflow.http.SocketAddress

internal const val KEYED_SERVICE = "keyed"

/** Routing tables of this version and later ones have a route for uploads, which enables load control. */
internal const val LOAD_CONTROL_VERSION = 1_000L

/**
 * Decodes and builds records in a plain-text format: a routing table is its version, a target's entry its fields separated by spaces.
 */
internal object FakeRecords : RecordDecoder {
    override fun decodeOperatorRecord(key: String, value: ByteArray?): OperatorRecord {
        if (key.startsWith("empty/")) return OperatorRecord.EmptiedZone(key.removePrefix("empty/"))
        val version = value?.decodeToString()?.toLongOrNull() ?: return OperatorRecord.Rejected("expected a version, found none")
        return OperatorRecord.Table(table(version))
    }

    override fun decodeTargetRecord(key: String, value: ByteArray): TargetRecord {
        val fields = value.decodeToString().split(' ')
        if (fields.size != 6) return TargetRecord.Rejected("expected 6 fields, found ${fields.size}")
        val address = SocketAddress.parseOrNull(fields[1]) ?: return TargetRecord.Rejected("expected IP:PORT as address")
        return TargetRecord.Valid(
            TargetEntry(key, fields[0], address, fields[2], 4, fields[3] == "draining", fields[4].toLong(), fields[5].toLong()),
        )
    }

    fun table(version: Long) = RoutingTable(
        version,
        if (version >= LOAD_CONTROL_VERSION) persistentListOf(uploadRoute()) else persistentListOf(),
        persistentMapOf(KEYED_SERVICE to serviceConfig(KEYED_SERVICE, isKeyed = true)),
        CallerLimits(8_192, 65_536, 1_000, 1_000),
    )

    private fun uploadRoute() = Route(
        name = "uploads",
        host = "uploads.example",
        pathPrefix = "/",
        kind = RequestKind.NON_IDEMPOTENT,
        timeoutMs = 1_000,
        objectiveMs = 500,
        attempts = 1,
        priority = 0,
        shares = persistentListOf(ServiceShare(KEYED_SERVICE, 1.0)),
        isLargeTransfer = true,
    )

    fun serviceConfig(name: String, isKeyed: Boolean = false) = ServiceConfig(name, "/health", 100, 3_000, 20.0, isKeyed)

    fun tableChange(version: Long) = KeyedChange("table", version.toString().toByteArray())

    fun targetChange(entry: TargetEntry): KeyedChange {
        val state = if (entry.isDraining) "draining" else "ready"
        val text = "${entry.service} ${entry.address} ${entry.zone} $state ${entry.coldRemainingMs} ${entry.bornMs}"
        return KeyedChange(entry.id, text.toByteArray())
    }

    fun targetRecord(entry: TargetEntry, offset: Long): KeyedRecord = targetChange(entry).let { KeyedRecord(it.key, it.value, offset) }

    fun entry(id: String, number: Int, zone: String = "a", bornMs: Long = 1, service: String = KEYED_SERVICE) =
        TargetEntry(id, service, SocketAddress("10.0.0.$number", 80), zone, 4, false, 0, bornMs)
}
