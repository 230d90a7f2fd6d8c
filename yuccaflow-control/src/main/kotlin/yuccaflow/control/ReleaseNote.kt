package yuccaflow.control

/** What a note does with an entry. */
enum class EntryAction { ADD, CHANGE, WITHDRAW }

/** One entry of a release note. The specification is null when the entry is withdrawn. */
sealed interface NoteEntry {
    /** What the note does with the entry. */
    val action: EntryAction

    /** Kind and name as in the section's title, for example `target katalog-01`. */
    val subject: String

    /** An availability zone. */
    data class ZoneEntry(
        override val action: EntryAction,
        val name: ZoneName,
        val spec: ZoneSpec?,
    ) : NoteEntry {
        override val subject: String get() = "zone $name"
    }

    /** A service. */
    data class ServiceEntry(
        override val action: EntryAction,
        val name: ServiceName,
        val spec: ServiceSpec?,
    ) : NoteEntry {
        override val subject: String get() = "service $name"
    }

    /** A key range. */
    data class RangeEntry(
        override val action: EntryAction,
        val name: String,
        val spec: RangeSpec?,
    ) : NoteEntry {
        override val subject: String get() = "range $name"
    }

    /** A target. */
    data class TargetEntry(
        override val action: EntryAction,
        val name: TargetId,
        val spec: TargetSpec?,
    ) : NoteEntry {
        override val subject: String get() = "target $name"
    }
}

/** A release note: changes to the configuration, based on version [base]. */
data class ReleaseNote(
    val id: String,
    val base: Long,
    val entries: List<NoteEntry>,
)

/** A mistake in the text of a note. A null [key] means the section as a whole. */
data class NoteMistake(
    val section: String,
    val key: String?,
    val expected: String,
    val found: String,
) {
    override fun toString(): String = "[$section]${key?.let { " $it" } ?: ""}: expected $expected, found $found"
}

/** Result of parsing the text of a note. */
sealed interface NoteParseResult {
    /** The text is well-formed. */
    data class Parsed(
        val note: ReleaseNote,
    ) : NoteParseResult

    /** The text has these mistakes. */
    data class Invalid(
        val mistakes: List<NoteMistake>,
    ) : NoteParseResult
}

/** Parses the INI text of a release note and reports all of its mistakes at once. */
fun parseReleaseNote(text: String): NoteParseResult = ReleaseNoteParser(text).parse()
