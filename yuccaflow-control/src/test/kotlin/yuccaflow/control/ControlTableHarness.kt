package yuccaflow.control

import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal val SERVICE = ServiceName("katalog")

/** Applies records to a control table and checks whether each of them takes effect or is void. */
internal class ControlTableHarness {
    var table: ControlTable = emptyControlTable()
        private set

    /** Applies a record that must take effect. Returns its offset. */
    fun accept(record: ControlRecord): Long {
        val applied = table.apply(table.position + 1, record)
        expectThat(applied.voidReason).isNull()
        table = applied.table
        return table.position
    }

    /** Applies the records of a planned stop of [router]. */
    fun stop(router: String) {
        accept(ControlRecord.RouterLeaving(RouterId(router)))
        accept(ControlRecord.RouterStopped(RouterId(router)))
    }

    /** Applies a record that must be void for a reason that contains [reason] and must not change the table. */
    fun reject(record: ControlRecord, reason: String) {
        val before = snapshotOf(table, ConfigState.Empty)
        val applied = table.apply(table.position + 1, record)
        expectThat(applied.voidReason).isNotNull().contains(reason)
        table = applied.table
        check(snapshotOf(table, ConfigState.Empty) == before.copy(tablePosition = table.position)) { "a void record changed the table" }
    }

    fun epochOf(router: String): Long = table.routers.getValue(RouterId(router)).epoch

    fun ownerOf(key: String): String? = table.rangeOf(SERVICE, key)?.owner?.value
}

internal fun register(router: String, vararg witnesses: String, zone: String = "brest"): ControlRecord.RouterRegistered =
    ControlRecord.RouterRegistered(RouterId(router), ZoneName(zone), "host-$router", "", "", "", witnesses.map { RouterId(it) })

internal fun primary(target: String, router: String, expectedEpoch: Long, by: String): ControlRecord.PrimaryAssigned =
    ControlRecord.PrimaryAssigned(TargetId(target), RouterId(router), expectedEpoch, RouterId(by))

internal fun assign(range: KeyRange, target: String): ControlRecord.RangeAssigned =
    ControlRecord.RangeAssigned(SERVICE, range, TargetId(target))

/** A release note with one zone, one keyed service with two ranges, and one target. */
internal val BASE_NOTE =
    """
    [note]
    id = n1
    base = 0
    [zone brest]
    action = add
    region = breizh
    [service katalog]
    action = add
    path = /katalog
    key = path:1
    idempotent = GET, HEAD
    run_limit_ms = 500
    [range katalog-1]
    action = add
    service = katalog
    to = m
    [range katalog-2]
    action = add
    service = katalog
    from = m
    [target katalog-01]
    action = add
    service = katalog
    zone = brest
    address = 127.0.0.1:9001
    slots = 5
    connections = 100
    checks_fences = yes
    """.trimIndent()
