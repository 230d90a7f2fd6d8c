package yuccaflow.control

/** Ended routers that are remembered, oldest first out: about three days at 67 restarts a day. */
private const val ENDED_ROUTERS_KEPT = 200

internal fun PersistentControlTable.register(offset: Long, record: ControlRecord.RouterRegistered): Change {
    if (record.router in routers) return Change.Void("router ${record.router} is already registered")
    witnessFault(record.router, record.witnesses)?.let { return Change.Void(it) }
    return Change.Effective(
        withSuccessor(offset, record).withRouter(
            RouterEntry(
                id = record.router,
                zone = record.zone,
                host = record.host,
                peerAddress = record.peerAddress,
                adminAddress = record.adminAddress,
                callerAddress = record.callerAddress,
                witnesses = record.witnesses,
                epoch = offset,
                stage = RouterStage.LIVE,
                suspicion = null,
            ),
        ),
    )
}

/**
 * A router that registers at the host and address of an earlier one proves that the earlier process is gone, since only one process can
 * listen there. It suspects it, and counts as every witness's reading, so that the lease ends even when all witnesses were lost as well,
 * as after a restart of all routers at once. The wait before the end still stands, because grants may not have expired yet.
 */
private fun PersistentControlTable.withSuccessor(offset: Long, record: ControlRecord.RouterRegistered): PersistentControlTable =
    routers.values
        .filter { it.stage != RouterStage.ENDED && it.host == record.host && it.peerAddress == record.peerAddress }
        .fold(this) { table, earlier ->
            val suspicion = Suspicion(earlier.suspicion?.offset ?: offset, record.router, earlier.witnesses.toSet())
            table.withRouter(earlier.copy(suspicion = suspicion))
        }

internal fun PersistentControlTable.leave(record: ControlRecord.RouterLeaving): Change {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.stage == RouterStage.LEAVING) return Change.Void("router ${entry.id} is already leaving")
    return Change.Effective(withRouter(entry.copy(stage = RouterStage.LEAVING)))
}

internal fun PersistentControlTable.stop(record: ControlRecord.RouterStopped): Change {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    // A target that is handed to the router later than its stop was prepared may still hold a grant of the primary before it.
    if (entry.stage != RouterStage.LEAVING) return Change.Void("router ${entry.id} stops without having announced that it leaves")
    return Change.Effective(withEnded(entry))
}

internal fun PersistentControlTable.changeWitnesses(offset: Long, record: ControlRecord.WitnessesChanged): Change {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.epoch != record.expectedEpoch) return staleEpoch("router ${entry.id}", record.expectedEpoch, entry.epoch)
    // The witnesses that read the suspicion and those that the end of the lease is checked against must be the same set.
    if (entry.suspicion != null) return Change.Void("router ${entry.id} is under suspicion ${entry.suspicion.offset}")
    witnessFault(entry.id, record.witnesses)?.let { return Change.Void(it) }
    return Change.Effective(withRouter(entry.copy(witnesses = record.witnesses, epoch = offset)))
}

internal fun PersistentControlTable.suspect(offset: Long, record: ControlRecord.Suspected): Change {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.suspicion != null) return Change.Void("router ${entry.id} is already under suspicion ${entry.suspicion.offset}")
    if (record.by == record.router) return Change.Void("router ${entry.id} cannot suspect itself")
    if (!isLive(record.by)) return notLive(record.by)
    if (!maySuspect(record.by, entry)) return Change.Void("router ${record.by} is no witness of router ${entry.id}")
    return Change.Effective(withRouter(entry.copy(suspicion = Suspicion(offset, record.by, emptySet()))))
}

internal fun PersistentControlTable.cancelSuspicion(record: ControlRecord.SuspicionCancelled): Change {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.suspicion?.offset != record.suspicionOffset) return otherSuspicion(entry, record.suspicionOffset)
    return Change.Effective(withRouter(entry.copy(suspicion = null)))
}

internal fun PersistentControlTable.readSuspicion(record: ControlRecord.SuspicionRead): Change {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    val suspicion = entry.suspicion?.takeIf { it.offset == record.suspicionOffset } ?: return otherSuspicion(entry, record.suspicionOffset)
    if (record.witness !in entry.witnesses) return Change.Void("router ${record.witness} is no witness of router ${entry.id}")
    if (!isLive(record.witness)) return notLive(record.witness)
    if (record.witness in suspicion.readBy) return Change.Void("witness ${record.witness} has already read suspicion ${suspicion.offset}")
    return Change.Effective(withRouter(entry.copy(suspicion = suspicion.copy(readBy = suspicion.readBy + record.witness))))
}

internal fun PersistentControlTable.endLease(record: ControlRecord.LeaseEnded): Change {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.suspicion?.offset != record.suspicionOffset) return otherSuspicion(entry, record.suspicionOffset)
    if (!isSuspicionRead(entry)) {
        return Change.Void(
            "expected a majority of the ${entry.witnesses.size} witnesses of router ${entry.id} to have read suspicion " +
                "${record.suspicionOffset}, found ${entry.suspicion.readBy.size}",
        )
    }
    return Change.Effective(withEnded(entry))
}

internal fun PersistentControlTable.assignPrimary(offset: Long, record: ControlRecord.PrimaryAssigned): Change {
    val router = liveRouter(record.router) ?: return notLive(record.router)
    if (!isLive(record.by)) return notLive(record.by)
    unfitness(router)?.let { return it }
    val current = primaries[record.target]
    val currentEpoch = current?.epoch ?: NO_EPOCH
    val fault =
        when {
            currentEpoch != record.expectedEpoch ->
                staleEpoch("primary of target ${record.target}", record.expectedEpoch, currentEpoch)
            current?.router == record.router ->
                Change.Void("router ${record.router} is already the primary of target ${record.target}")
            current != null && isLive(current.router) && record.by != current.router ->
                Change.Void("router ${current.router} is the primary of target ${record.target} and live; only it may hand over")
            else -> null
        }
    if (fault != null) return fault
    return Change.Effective(copy(primaries = primaries.put(record.target, PrimaryEntry(record.target, record.router, offset))))
}

/**
 * Why [router] may not become a primary. After a handover the target holds grants of the old primary for up to a lease. If the new one was
 * under suspicion already, its end could be recorded, and the ranges released by anyone, before these grants expire.
 */
private fun unfitness(router: RouterEntry): Change.Void? =
    when {
        router.stage == RouterStage.LEAVING -> Change.Void("router ${router.id} is leaving")
        router.suspicion != null -> Change.Void("router ${router.id} is under suspicion ${router.suspicion.offset}")
        else -> null
    }

/**
 * Tells whether the lease of [entry] may be ended: a majority of its recorded witnesses have read the suspicion or been ended. A router
 * without witnesses confirms itself by the log alone, where the suspicion itself stops it, so that nothing more is needed.
 */
internal fun ControlTable.isSuspicionRead(entry: RouterEntry): Boolean {
    val suspicion = entry.suspicion ?: return false
    val counted = entry.witnesses.count { it in suspicion.readBy || !isLive(it) }
    return entry.witnesses.isEmpty() || counted >= majorityOf(entry.witnesses.size)
}

/** Tells whether [by] may suspect [entry]: as a recorded witness, or as any live router when no recorded witness is live. */
internal fun ControlTable.maySuspect(by: RouterId, entry: RouterEntry): Boolean =
    by in entry.witnesses || entry.witnesses.none { isLive(it) }

/** The smallest number that is more than half of [size]. */
internal fun majorityOf(size: Int): Int = size / 2 + 1

internal fun ControlTable.liveRouter(router: RouterId): RouterEntry? = routers[router]?.takeIf { it.stage != RouterStage.ENDED }

internal fun PersistentControlTable.notLive(router: RouterId): Change.Void =
    Change.Void(if (router in routers) "the lease of router $router has ended" else "router $router is not registered")

internal fun staleEpoch(subject: String, expected: Long, found: Long): Change.Void =
    Change.Void("$subject: expected epoch $expected, found $found")

private fun otherSuspicion(entry: RouterEntry, expected: Long): Change.Void =
    Change.Void("router ${entry.id}: expected suspicion $expected, found ${entry.suspicion?.offset ?: "none"}")

private fun PersistentControlTable.witnessFault(self: RouterId, witnesses: List<RouterId>): String? =
    when {
        self in witnesses -> "router $self names itself as a witness"
        witnesses.toSet().size != witnesses.size -> "router $self names a witness twice"
        else -> witnesses.firstOrNull { it !in routers }?.let { "witness $it of router $self is not registered" }
    }

private fun PersistentControlTable.withEnded(entry: RouterEntry): PersistentControlTable {
    val ended = routers.put(entry.id, entry.copy(stage = RouterStage.ENDED, suspicion = null))
    val surplus = ended.values.count { it.stage == RouterStage.ENDED } > ENDED_ROUTERS_KEPT
    val oldest = if (surplus) ended.values.filter { it.stage == RouterStage.ENDED }.minBy { it.epoch } else null
    return copy(routers = if (oldest == null) ended else ended.remove(oldest.id))
}
