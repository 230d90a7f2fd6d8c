package yuccaflow.control

/** Number of ended routers that the table keeps, about three days at 67 restarts a day; the oldest are removed first. */
private const val MAX_ENDED_ROUTERS = 200

internal fun PersistentControlTable.register(offset: Long, record: ControlRecord.RouterRegistered): Effect {
    if (record.router in routers) return Effect.Void("router ${record.router} is already registered")
    witnessError(record.router, record.witnesses)?.let { return Effect.Void(it) }
    return Effect.Effective(
        withPredecessorsSuspected(offset, record).withRouter(
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
 * Suspects the earlier routers at the host and peer address of [record] on behalf of all their witnesses.
 *
 * The registration proves that the earlier process is gone, since only one process can listen at the address. The suspicion counts as
 * read by every witness, so that the lease ends even if all witnesses were lost as well, as after a restart of all routers at once. The
 * wait before the end of the lease still applies, because grants of the earlier process may not have expired yet.
 */
private fun PersistentControlTable.withPredecessorsSuspected(offset: Long, record: ControlRecord.RouterRegistered): PersistentControlTable =
    routers.values
        .filter { it.stage != RouterStage.ENDED && it.host == record.host && it.peerAddress == record.peerAddress }
        .fold(this) { table, earlier ->
            val suspicion = Suspicion(earlier.suspicion?.offset ?: offset, record.router, earlier.witnesses.toSet())
            table.withRouter(earlier.copy(suspicion = suspicion))
        }

internal fun PersistentControlTable.leave(record: ControlRecord.RouterLeaving): Effect {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.stage == RouterStage.LEAVING) return Effect.Void("router ${entry.id} is already leaving")
    return Effect.Effective(withRouter(entry.copy(stage = RouterStage.LEAVING)))
}

internal fun PersistentControlTable.stop(record: ControlRecord.RouterStopped): Effect {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    // A target that is handed over while the router prepares its stop may still hold a grant of the previous primary.
    if (entry.stage != RouterStage.LEAVING) return Effect.Void("router ${entry.id} stops without having announced that it leaves")
    return Effect.Effective(withEnded(entry))
}

internal fun PersistentControlTable.changeWitnesses(offset: Long, record: ControlRecord.WitnessesChanged): Effect {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.epoch != record.expectedEpoch) return staleEpoch("router ${entry.id}", record.expectedEpoch, entry.epoch)
    // The end of the lease is checked against the recorded witnesses, so they must be the ones that read the suspicion.
    if (entry.suspicion != null) return Effect.Void("router ${entry.id} is under suspicion ${entry.suspicion.offset}")
    witnessError(entry.id, record.witnesses)?.let { return Effect.Void(it) }
    return Effect.Effective(withRouter(entry.copy(witnesses = record.witnesses, epoch = offset)))
}

internal fun PersistentControlTable.suspect(offset: Long, record: ControlRecord.Suspected): Effect {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.suspicion != null) return Effect.Void("router ${entry.id} is already under suspicion ${entry.suspicion.offset}")
    if (record.by == record.router) return Effect.Void("router ${entry.id} cannot suspect itself")
    if (!isLive(record.by)) return notLive(record.by)
    if (!maySuspect(record.by, entry)) return Effect.Void("router ${record.by} is no witness of router ${entry.id}")
    return Effect.Effective(withRouter(entry.copy(suspicion = Suspicion(offset, record.by, emptySet()))))
}

internal fun PersistentControlTable.cancelSuspicion(record: ControlRecord.SuspicionCancelled): Effect {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.suspicion?.offset != record.suspicionOffset) return suspicionMismatch(entry, record.suspicionOffset)
    return Effect.Effective(withRouter(entry.copy(suspicion = null)))
}

internal fun PersistentControlTable.readSuspicion(record: ControlRecord.SuspicionRead): Effect {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    val suspicion =
        entry.suspicion?.takeIf { it.offset == record.suspicionOffset } ?: return suspicionMismatch(entry, record.suspicionOffset)
    if (record.witness !in entry.witnesses) return Effect.Void("router ${record.witness} is no witness of router ${entry.id}")
    if (!isLive(record.witness)) return notLive(record.witness)
    if (record.witness in suspicion.readBy) return Effect.Void("witness ${record.witness} has already read suspicion ${suspicion.offset}")
    return Effect.Effective(withRouter(entry.copy(suspicion = suspicion.copy(readBy = suspicion.readBy + record.witness))))
}

internal fun PersistentControlTable.endLease(record: ControlRecord.LeaseEnded): Effect {
    val entry = liveRouter(record.router) ?: return notLive(record.router)
    if (entry.suspicion?.offset != record.suspicionOffset) return suspicionMismatch(entry, record.suspicionOffset)
    if (!isSuspicionRead(entry)) {
        return Effect.Void(
            "expected a majority of the ${entry.witnesses.size} witnesses of router ${entry.id} to have read suspicion " +
                "${record.suspicionOffset}, found ${entry.suspicion.readBy.size}",
        )
    }
    return Effect.Effective(withEnded(entry))
}

internal fun PersistentControlTable.assignPrimary(offset: Long, record: ControlRecord.PrimaryAssigned): Effect {
    val router = liveRouter(record.router) ?: return notLive(record.router)
    if (!isLive(record.by)) return notLive(record.by)
    primaryIneligibility(router)?.let { return it }
    val current = primaries[record.target]
    val currentEpoch = current?.epoch ?: NO_EPOCH
    val conflict =
        when {
            currentEpoch != record.expectedEpoch ->
                staleEpoch("primary of target ${record.target}", record.expectedEpoch, currentEpoch)
            current?.router == record.router ->
                Effect.Void("router ${record.router} is already the primary of target ${record.target}")
            current != null && isLive(current.router) && record.by != current.router ->
                Effect.Void("router ${current.router} is the primary of target ${record.target} and live; only it may hand over")
            else -> null
        }
    if (conflict != null) return conflict
    return Effect.Effective(copy(primaries = primaries.put(record.target, PrimaryEntry(record.target, record.router, offset))))
}

/**
 * Why [router] may not become a primary; null if it may. After a handover the target holds grants of the old primary for up to a lease
 * duration. If the new primary were already under suspicion, its lease could be ended, and any router could release the ranges, before
 * these grants expire.
 */
private fun primaryIneligibility(router: RouterEntry): Effect.Void? =
    when {
        router.stage == RouterStage.LEAVING -> Effect.Void("router ${router.id} is leaving")
        router.suspicion != null -> Effect.Void("router ${router.id} is under suspicion ${router.suspicion.offset}")
        else -> null
    }

/**
 * Returns whether the lease of [entry] may be ended: a majority of its recorded witnesses have read the suspicion or have ended. A router
 * without witnesses confirms its lease only by reading the log, where it finds the suspicion itself, so no witness is needed.
 */
internal fun ControlTable.isSuspicionRead(entry: RouterEntry): Boolean {
    val suspicion = entry.suspicion ?: return false
    val counted = entry.witnesses.count { it in suspicion.readBy || !isLive(it) }
    return entry.witnesses.isEmpty() || counted >= majorityOf(entry.witnesses.size)
}

/** Returns whether [by] may suspect [entry]: recorded witnesses may, and every router if no recorded witness is live. */
internal fun ControlTable.maySuspect(by: RouterId, entry: RouterEntry): Boolean =
    by in entry.witnesses || entry.witnesses.none { isLive(it) }

/** The smallest number that is more than half of [size]. */
internal fun majorityOf(size: Int): Int = size / 2 + 1

internal fun ControlTable.liveRouter(router: RouterId): RouterEntry? = routers[router]?.takeIf { it.stage != RouterStage.ENDED }

internal fun PersistentControlTable.notLive(router: RouterId): Effect.Void =
    Effect.Void(if (router in routers) "the lease of router $router has ended" else "router $router is not registered")

internal fun staleEpoch(subject: String, expected: Long, found: Long): Effect.Void =
    Effect.Void("$subject: expected epoch $expected, found $found")

private fun suspicionMismatch(entry: RouterEntry, expected: Long): Effect.Void =
    Effect.Void("router ${entry.id}: expected suspicion $expected, found ${entry.suspicion?.offset ?: "none"}")

private fun PersistentControlTable.witnessError(self: RouterId, witnesses: List<RouterId>): String? =
    when {
        self in witnesses -> "router $self names itself as a witness"
        witnesses.toSet().size != witnesses.size -> "router $self names a witness twice"
        else -> witnesses.firstOrNull { it !in routers }?.let { "witness $it of router $self is not registered" }
    }

private fun PersistentControlTable.withEnded(entry: RouterEntry): PersistentControlTable {
    val ended = routers.put(entry.id, entry.copy(stage = RouterStage.ENDED, suspicion = null))
    val isOverLimit = ended.values.count { it.stage == RouterStage.ENDED } > MAX_ENDED_ROUTERS
    val oldest = if (isOverLimit) ended.values.filter { it.stage == RouterStage.ENDED }.minBy { it.epoch } else null
    return copy(routers = if (oldest == null) ended else ended.remove(oldest.id))
}
