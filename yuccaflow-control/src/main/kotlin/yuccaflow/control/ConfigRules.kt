package yuccaflow.control

/** Number of outcomes kept: nearly four days at 260 changes a day. Publishers that repeat a record do so within minutes. */
private const val MAX_OUTCOMES = 1_000

/** Maximum number of reasons that a rejection lists; further ones are only counted. */
private const val MAX_LISTED_REASONS = 8

/**
 * Returns the configuration after the record at [offset] of `config`; every reader derives the same state. A null [record] stands for one
 * that could not be decoded. It only advances the position, as does a record whose id is already known.
 *
 * An accepted note that is published again after its outcome was dropped is rejected as stale, because its first publication has changed
 * its entries since the version that it is based on.
 */
fun applyConfigRecord(state: ConfigState, offset: Long, record: ConfigRecord?): ConfigState {
    require(offset == state.position + 1) { "expected the record at offset ${state.position + 1}, found offset $offset" }
    val advanced = state.copy(position = offset)
    if (record == null || state.outcomes.any { it.id == record.id }) return advanced
    val verdict =
        when (record) {
            is ConfigRecord.Note -> applyNote(advanced, record)
            is ConfigRecord.Mark -> applyMark(advanced, record)
        }
    return when (verdict) {
        is Verdict.Accepted ->
            verdict.state.withOutcome(ConfigRecordOutcome(record.id, offset, verdict.state.version, rejection = null))
        is Verdict.Rejected ->
            advanced.withOutcome(ConfigRecordOutcome(record.id, offset, version = null, rejection = summarize(verdict.reasons)))
    }
}

private sealed interface Verdict {
    data class Accepted(
        val state: ConfigState,
    ) : Verdict

    data class Rejected(
        val reasons: List<String>,
    ) : Verdict
}

private fun ConfigState.withOutcome(outcome: ConfigRecordOutcome): ConfigState =
    copy(outcomes = (outcomes + outcome).takeLast(MAX_OUTCOMES))

private fun summarize(reasons: List<String>): String {
    val omitted = reasons.size - MAX_LISTED_REASONS
    return reasons.take(MAX_LISTED_REASONS).joinToString("; ") + if (omitted > 0) "; and $omitted more" else ""
}

private fun applyNote(state: ConfigState, record: ConfigRecord.Note): Verdict {
    val note =
        when (val parsed = parseReleaseNote(record.text)) {
            is NoteParseResult.Invalid -> return Verdict.Rejected(parsed.mistakes.map { it.toString() })
            is NoteParseResult.Parsed -> parsed.note
        }
    if (note.id != record.id) return Verdict.Rejected(listOf("[note] id: expected ${record.id} as in the record, found ${note.id}"))
    if (note.entries.isEmpty()) return Verdict.Rejected(listOf("expected at least one entry, found none"))
    val conflicts = staleBaseErrors(state, note).ifEmpty { note.entries.mapNotNull { existenceError(state, it) } }
    if (conflicts.isNotEmpty()) return Verdict.Rejected(conflicts)
    val changed = note.entries.fold(state) { before, entry -> withEntry(before, entry) }
    val errors = configErrors(changed)
    if (errors.isNotEmpty()) return Verdict.Rejected(errors)
    val version = state.version + 1
    return Verdict.Accepted(
        changed.copy(
            version = version,
            entryVersions = state.entryVersions + note.entries.associate { it.subject to version },
            leavingZones = state.leavingZones.intersect(changed.zones.keys),
        ),
    )
}

private fun staleBaseErrors(state: ConfigState, note: ReleaseNote): List<String> {
    if (note.base > state.version) return listOf("[note] base: expected at most the current version ${state.version}, found ${note.base}")
    return note.entries.mapNotNull { entry ->
        val changedInVersion = state.entryVersions[entry.subject] ?: 0
        if (changedInVersion > note.base) {
            "[${entry.subject}] was changed by version $changedInVersion; the note is based on version ${note.base}"
        } else {
            null
        }
    }
}

private fun existenceError(state: ConfigState, entry: NoteEntry): String? {
    val exists =
        when (entry) {
            is NoteEntry.ZoneEntry -> entry.name in state.zones
            is NoteEntry.ServiceEntry -> entry.name in state.services
            is NoteEntry.RangeEntry -> entry.name in state.ranges
            is NoteEntry.TargetEntry -> entry.name in state.targets
        }
    return when {
        entry.action == EntryAction.ADD && exists -> "[${entry.subject}] action: expected change or withdraw, since it exists; found add"
        entry.action != EntryAction.ADD && !exists ->
            "[${entry.subject}] action: expected add, since it does not exist; found ${entry.action.name.lowercase()}"
        else -> null
    }
}

private fun withEntry(state: ConfigState, entry: NoteEntry): ConfigState =
    when (entry) {
        is NoteEntry.ZoneEntry -> state.copy(zones = state.zones.with(entry.name, entry.spec))
        is NoteEntry.ServiceEntry -> state.copy(services = state.services.with(entry.name, entry.spec))
        is NoteEntry.RangeEntry -> state.copy(ranges = state.ranges.with(entry.name, entry.spec))
        is NoteEntry.TargetEntry -> state.copy(targets = state.targets.with(entry.name, entry.spec))
    }

private fun <K, V : Any> Map<K, V>.with(key: K, value: V?): Map<K, V> = if (value == null) this - key else this + (key to value)

private fun applyMark(state: ConfigState, mark: ConfigRecord.Mark): Verdict {
    val version = state.version + 1
    return when (mark.subject) {
        MarkSubject.HOST ->
            Verdict.Accepted(state.copy(version = version, leavingHosts = state.leavingHosts.with(mark.name, mark.isLeaving)))
        MarkSubject.ZONE -> {
            val zone = ZoneName(mark.name)
            if (zone !in state.zones) return Verdict.Rejected(listOf("expected a known zone, found ${mark.name}"))
            Verdict.Accepted(state.copy(version = version, leavingZones = state.leavingZones.with(zone, mark.isLeaving)))
        }
    }
}

private fun <T> Set<T>.with(element: T, contained: Boolean): Set<T> = if (contained) this + element else this - element
