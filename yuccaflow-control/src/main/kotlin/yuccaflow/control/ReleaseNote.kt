package yuccaflow.control

/** What a release note does with an entry. */
enum class EntryAction { ADD, CHANGE, WITHDRAW }

/** One entry of a release note. Its specification is null if the entry is withdrawn. */
sealed interface NoteEntry {
    /** What the note does with the entry. */
    val action: EntryAction

    /** Kind and name of the entry as in the section title, for example `target katalog-01`. */
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

/** A set of changes to the configuration that is accepted or rejected as a whole. It is written against configuration version [base]. */
data class ReleaseNote(
    val id: String,
    val base: Long,
    val entries: List<NoteEntry>,
)

/** A mistake in the text of a release note. A null [key] stands for the whole section. */
data class NoteMistake(
    val section: String,
    val key: String?,
    val expected: String,
    val found: String,
) {
    override fun toString(): String = "[$section]${key?.let { " $it" } ?: ""}: expected $expected, found $found"
}

/** Result of parsing the text of a release note. */
sealed interface NoteParseResult {
    /** The text is well-formed. */
    data class Parsed(
        val note: ReleaseNote,
    ) : NoteParseResult

    /** The text has [mistakes], at least one. */
    data class Invalid(
        val mistakes: List<NoteMistake>,
    ) : NoteParseResult
}

/** Parses the INI text of a release note. Reports all mistakes of the text, not just the first. */
fun parseReleaseNote(text: String): NoteParseResult = ReleaseNoteParser(text).parse()
