package yuccaflow.control

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** The table before the first record of `control`. */
fun emptyControlTable(): ControlTable = PersistentControlTable(0, persistentMapOf(), persistentMapOf(), persistentMapOf())

/** Restores the control table from [snapshot]. */
fun controlTable(snapshot: Snapshot): ControlTable =
    PersistentControlTable(
        position = snapshot.tablePosition,
        routers = snapshot.routers.associateBy { it.id }.toPersistentMap(),
        primaries = snapshot.primaries.associateBy { it.target }.toPersistentMap(),
        rangesByService =
            snapshot.ranges
                .groupBy { it.service }
                .mapValues { (_, entries) -> ServiceRanges.of(entries) }
                .toPersistentMap(),
    )

/** Returns a snapshot of [table] and [config]. Its lists are sorted, so that equal tables give equal snapshots. */
fun snapshotOf(table: ControlTable, config: ConfigState): Snapshot =
    Snapshot(
        tablePosition = table.position,
        routers = table.routers.values.sortedBy { it.id.value },
        primaries = table.primaries.values.sortedBy { it.target.value },
        ranges = table.services.sortedBy { it.value }.flatMap { table.ranges(it) },
        configPosition = config.position,
        config = config,
    )
