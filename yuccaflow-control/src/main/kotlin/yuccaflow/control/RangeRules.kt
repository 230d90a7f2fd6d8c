package yuccaflow.control

internal fun PersistentControlTable.assignRange(offset: Long, record: ControlRecord.RangeAssigned): Change {
    if (isEmptyRange(record.range)) return Change.Void("range ${record.range} holds no key")
    val ranges = rangesOf(record.service)
    ranges.overlapping(record.range)?.let {
        return Change.Void("range ${record.range} of service ${record.service} overlaps ${it.range}, which is owned by target ${it.owner}")
    }
    return Change.Effective(
        withRanges(record.service, ranges.plus(RangeEntry(record.service, record.range, record.target, offset, move = null))),
    )
}

internal fun PersistentControlTable.startMove(offset: Long, record: ControlRecord.MoveStarted): Change {
    val entry = rangesOf(record.service).exactly(record.range) ?: return noRange(record.service, record.range)
    settledFault(entry, record.expectedEpoch)?.let { return it }
    if (entry.owner == record.to) return Change.Void("target ${entry.owner} already owns range ${entry.range}")
    return replace(entry.copy(move = MoveEntry(record.to, offset)))
}

internal fun PersistentControlTable.releaseRange(offset: Long, record: ControlRecord.RangeReleased): Change {
    val entry = rangesOf(record.service).exactly(record.range) ?: return noRange(record.service, record.range)
    val move = entry.move?.takeIf { it.epoch == record.moveEpoch } ?: return otherMove(entry, record.moveEpoch)
    if (!isLive(record.by)) return notLive(record.by)
    val primary = primaries[entry.owner]?.router
    if (primary != null && primary != record.by && isLive(primary)) {
        return Change.Void("router $primary is the primary of target ${entry.owner} and live; only it may release range ${entry.range}")
    }
    if (move.to == null) return Change.Effective(withRanges(entry.service, rangesOf(entry.service).minus(entry.range)))
    return replace(entry.copy(owner = move.to, epoch = offset, move = null))
}

internal fun PersistentControlTable.cancelMove(offset: Long, record: ControlRecord.MoveCancelled): Change {
    val entry = rangesOf(record.service).exactly(record.range) ?: return noRange(record.service, record.range)
    if (entry.move?.epoch != record.moveEpoch) return otherMove(entry, record.moveEpoch)
    return replace(entry.copy(epoch = offset, move = null))
}

internal fun PersistentControlTable.splitRange(offset: Long, record: ControlRecord.RangeSplit): Change {
    val ranges = rangesOf(record.service)
    val entry = ranges.exactly(record.range) ?: return noRange(record.service, record.range)
    settledFault(entry, record.expectedEpoch)?.let { return it }
    val left = entry.copy(range = KeyRange(entry.range.from, record.at), epoch = offset)
    val right = entry.copy(range = KeyRange(record.at, entry.range.to), epoch = offset)
    if (isEmptyRange(left.range) || isEmptyRange(right.range)) {
        return Change.Void("range ${entry.range}: expected a key strictly inside it to split at, found ${record.at}")
    }
    return Change.Effective(withRanges(entry.service, ranges.minus(entry.range).plus(left).plus(right)))
}

internal fun PersistentControlTable.mergeRanges(offset: Long, record: ControlRecord.RangesMerged): Change {
    val ranges = rangesOf(record.service)
    val left = ranges.exactly(record.left) ?: return noRange(record.service, record.left)
    val right = ranges.exactly(record.right) ?: return noRange(record.service, record.right)
    val fault = settledFault(left, record.expectedLeftEpoch) ?: settledFault(right, record.expectedRightEpoch)
    if (fault != null) return fault
    if (left.range.to != right.range.from) return Change.Void("ranges ${left.range} and ${right.range} are not adjacent")
    if (left.owner != right.owner) {
        return Change.Void("ranges ${left.range} and ${right.range} have different owners, ${left.owner} and ${right.owner}")
    }
    val merged = left.copy(range = KeyRange(left.range.from, right.range.to), epoch = offset)
    return Change.Effective(withRanges(record.service, ranges.minus(left.range).minus(right.range).plus(merged)))
}

private fun PersistentControlTable.replace(entry: RangeEntry): Change =
    Change.Effective(withRanges(entry.service, rangesOf(entry.service).replacing(entry)))

private fun settledFault(entry: RangeEntry, expectedEpoch: Long): Change.Void? =
    when {
        entry.epoch != expectedEpoch -> staleEpoch("range ${entry.range} of service ${entry.service}", expectedEpoch, entry.epoch)
        entry.move != null -> Change.Void("range ${entry.range} of service ${entry.service} is being moved since ${entry.move.epoch}")
        else -> null
    }

private fun isEmptyRange(range: KeyRange): Boolean = range.to != null && compareKeys(range.from, range.to) >= 0

private fun noRange(service: ServiceName, range: KeyRange): Change.Void = Change.Void("service $service has no range $range")

private fun otherMove(entry: RangeEntry, expected: Long): Change.Void =
    Change.Void("range ${entry.range} of service ${entry.service}: expected move $expected, found ${entry.move?.epoch ?: "none"}")
