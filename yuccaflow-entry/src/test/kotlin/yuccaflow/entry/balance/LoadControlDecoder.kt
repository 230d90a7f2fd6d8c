package yuccaflow.entry.balance

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import yuccaflow.entry.config.RequestKind
import yuccaflow.entry.config.Route
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.config.ServiceShare
import yuccaflow.entry.directory.OperatorRecord
import yuccaflow.entry.directory.RecordDecoder
import yuccaflow.entry.fake.FakeRecords
import yuccaflow.entry.store.KeyedRecord

/** Version 1 of the routing table enables load control, version 2 does not. */
internal object LoadControlDecoder : RecordDecoder by FakeRecords {
    /** A short request to the service `s`. */
    val ROUTE = Route("read", "h", "/", RequestKind.IDEMPOTENT, 1_000, 200, 2, 1, persistentListOf(ServiceShare("s", 1.0)))

    fun tableRecord(hasLoadControl: Boolean) = KeyedRecord("table", (if (hasLoadControl) "1" else "2").toByteArray(), 0)

    override fun decodeOperatorRecord(key: String, value: ByteArray?): OperatorRecord {
        val version = value!!.decodeToString().toLong()
        val routes = persistentListOf(ROUTE.copy(isLargeTransfer = version == 1L))
        return OperatorRecord.Table(RoutingTable(version, routes, persistentMapOf(), FakeRecords.table(version).callerLimits))
    }
}
