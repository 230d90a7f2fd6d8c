package yuccaflow.control

internal fun PersistentControlTable.assignRange(offset: Long, record: ControlRecord.RangeAssigned): Effect {
    if (isEmptyRange(record.range)) return Effect.Void("range ${record.range} holds no key")
    val ranges = rangesOf(record.service)
    ranges.overlapping(record.range)?.let {
        return Effect.Void("range ${record.range} of service ${record.service} overlaps ${it.range}, which is owned by target ${it.owner}")
    }
    return Effect.Effective(
        withRanges(record.service, ranges.plus(RangeEntry(record.service, record.range, record.target, offset, move = null))),
    )
}

internal fun PersistentControlTable.startMove(offset: Long, record: ControlRecord.MoveStarted): Effect {
    val entry = rangesOf(record.service).matching(record.range) ?: return unknownRange(record.service, record.range)
    epochOrMoveConflict(entry, record.expectedEpoch)?.let { return it }
    if (entry.owner == record.to) return Effect.Void("target ${entry.owner} already owns range ${entry.range}")
    return replace(entry.copy(move = MoveEntry(record.to, offset)))
}

internal fun PersistentControlTable.releaseRange(offset: Long, record: ControlRecord.RangeReleased): Effect {
    val entry = rangesOf(record.service).matching(record.range) ?: return unknownRange(record.service, record.range)
    val move = entry.move?.takeIf { it.epoch == record.moveEpoch } ?: return moveMismatch(entry, record.moveEpoch)
    if (!isLive(record.by)) return notLive(record.by)
    val primary = primaries[entry.owner]?.router
    if (primary != null && primary != record.by && isLive(primary)) {
        return Effect.Void("router $primary is the primary of target ${entry.owner} and live; only it may release range ${entry.range}")
    }
    if (move.to == null) return Effect.Effective(withRanges(entry.service, rangesOf(entry.service).minus(entry.range)))
    return replace(entry.copy(owner = move.to, epoch = offset, move = null))
}

internal fun PersistentControlTable.cancelMove(offset: Long, record: ControlRecord.MoveCancelled): Effect {
    val entry = rangesOf(record.service).matching(record.range) ?: return unknownRange(record.service, record.range)
    if (entry.move?.epoch != record.moveEpoch) return moveMismatch(entry, record.moveEpoch)
    return replace(entry.copy(epoch = offset, move = null))
}

internal fun PersistentControlTable.splitRange(offset: Long, record: ControlRecord.RangeSplit): Effect {
    val ranges = rangesOf(record.service)
    val entry = ranges.matching(record.range) ?: return unknownRange(record.service, record.range)
    epochOrMoveConflict(entry, record.expectedEpoch)?.let { return it }
    val left = entry.copy(range = KeyRange(entry.range.from, record.at), epoch = offset)
    val right = entry.copy(range = KeyRange(record.at, entry.range.to), epoch = offset)
    if (isEmptyRange(left.range) || isEmptyRange(right.range)) {
        return Effect.Void("range ${entry.range}: expected a key strictly inside it to split at, found ${record.at}")
    }
    return Effect.Effective(withRanges(entry.service, ranges.minus(entry.range).plus(left).plus(right)))
}

internal fun PersistentControlTable.mergeRanges(offset: Long, record: ControlRecord.RangesMerged): Effect {
    val ranges = rangesOf(record.service)
    val left = ranges.matching(record.left) ?: return unknownRange(record.service, record.left)
    val right = ranges.matching(record.right) ?: return unknownRange(record.service, record.right)
    val conflict = epochOrMoveConflict(left, record.expectedLeftEpoch) ?: epochOrMoveConflict(right, record.expectedRightEpoch)
    if (conflict != null) return conflict
    if (left.range.to != right.range.from) return Effect.Void("ranges ${left.range} and ${right.range} are not adjacent")
    if (left.owner != right.owner) {
        return Effect.Void("ranges ${left.range} and ${right.range} have different owners, ${left.owner} and ${right.owner}")
    }
    val merged = left.copy(range = KeyRange(left.range.from, right.range.to), epoch = offset)
    return Effect.Effective(withRanges(record.service, ranges.minus(left.range).minus(right.range).plus(merged)))
}

private fun PersistentControlTable.replace(entry: RangeEntry): Effect =
    Effect.Effective(withRanges(entry.service, rangesOf(entry.service).replacing(entry)))

/** Why a record is void that expects [entry] to have [expectedEpoch] and not to be moving; null if both hold. */
private fun epochOrMoveConflict(entry: RangeEntry, expectedEpoch: Long): Effect.Void? =
    when {
        entry.epoch != expectedEpoch -> staleEpoch("range ${entry.range} of service ${entry.service}", expectedEpoch, entry.epoch)
        entry.move != null -> Effect.Void("range ${entry.range} of service ${entry.service} is being moved since ${entry.move.epoch}")
        else -> null
    }

private fun isEmptyRange(range: KeyRange): Boolean = range.to != null && compareKeys(range.from, range.to) >= 0

private fun unknownRange(service: ServiceName, range: KeyRange): Effect.Void = Effect.Void("service $service has no range $range")

private fun moveMismatch(entry: RangeEntry, expected: Long): Effect.Void =
    Effect.Void("range ${entry.range} of service ${entry.service}: expected move $expected, found ${entry.move?.epoch ?: "none"}")
