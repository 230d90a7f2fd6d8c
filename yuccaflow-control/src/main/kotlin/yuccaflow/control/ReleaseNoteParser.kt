package yuccaflow.control

import org.ini4j.Config
import org.ini4j.Ini
import org.ini4j.InvalidFileFormatException
import yuccaflow.http.SocketAddress
import java.io.StringReader

private const val NOTE_SECTION = "note"
private const val ACTION_KEY = "action"
private const val MAX_RUN_LIMIT_MS = 60_000L

/** With a longer limit the keys of a lost target could not be served again within 3 s, since running requests must end first. */
private const val MAX_KEYED_RUN_LIMIT_MS = 800L
private const val MAX_SLOTS = 10_000L
private const val MAX_CONNECTIONS = 100_000L
private const val MAX_PATH_SEGMENT = 100
private val SECTION_TITLE = Regex("(zone|service|range|target) (\\S+)")
private val HTTP_METHOD = Regex("[A-Z]+")
private val HEADER_NAME = Regex("[A-Za-z0-9!#$%&'*+.^_`|~-]+")
private val SERVICE_KEYS = setOf("path", "host", "key", "idempotent", "run_limit_ms")
private val RANGE_KEYS = setOf("service", "from", "to")
private val TARGET_KEYS = setOf("service", "zone", "host", "address", "slots", "connections", "checks_fences")

/** Parses the text of one release note. An instance is used for one [parse] only. */
internal class ReleaseNoteParser(
    private val text: String,
) {
    private val mistakes = mutableListOf<NoteMistake>()

    fun parse(): NoteParseResult {
        val ini = load() ?: return NoteParseResult.Invalid(mistakes)
        val entries = mutableListOf<NoteEntry>()
        var header: Pair<String, Long>? = null
        for (name in ini.keys) {
            val count = ini.getAll(name).size
            if (count > 1) mistakes += NoteMistake(name, null, "the section once", "it $count times")
            val section = NoteSection(ini.getValue(name), mistakes)
            if (name == NOTE_SECTION) header = noteHeader(section) else entry(section)?.let { entries += it }
        }
        if (NOTE_SECTION !in ini.keys) mistakes += NoteMistake(NOTE_SECTION, null, "the section once", "nothing")
        if (mistakes.isNotEmpty() || header == null) return NoteParseResult.Invalid(mistakes)
        return NoteParseResult.Parsed(ReleaseNote(header.first, header.second, entries))
    }

    private fun load(): Ini? {
        val ini = Ini()
        ini.config =
            Config().apply {
                isEscape = false
                isTree = false
                isInclude = false
                isEmptyOption = true
                isMultiSection = true
                isMultiOption = true
            }
        return try {
            ini.apply { load(StringReader(text)) }
        } catch (failure: InvalidFileFormatException) {
            mistakes += NoteMistake("", null, "sections with lines of the form key = value", failure.message.orEmpty())
            null
        }
    }

    private fun noteHeader(section: NoteSection): Pair<String, Long>? {
        section.expectKeys(setOf("id", "base"))
        val id = section.word("id")
        val base = section.number("base", 0L..Long.MAX_VALUE)
        return if (id == null || base == null) null else id to base
    }

    private fun entry(section: NoteSection): NoteEntry? {
        val match = SECTION_TITLE.matchEntire(section.title)
        if (match == null) {
            section.addMistake(null, "[note], or [zone NAME], [service NAME], [range NAME] or [target NAME]", "[${section.title}]")
            return null
        }
        val (kind, name) = match.destructured
        val action =
            section.parsed(ACTION_KEY, "add, change or withdraw") { value ->
                EntryAction.entries.firstOrNull { it.name.lowercase() == value }
            } ?: return null
        val isWithdrawn = action == EntryAction.WITHDRAW
        section.expectKeys(setOf(ACTION_KEY) + if (isWithdrawn) emptySet() else keysOf(kind))
        val entry =
            when (kind) {
                "zone" -> NoteEntry.ZoneEntry(action, ZoneName(name), if (isWithdrawn) null else zone(section, name))
                "service" -> NoteEntry.ServiceEntry(action, ServiceName(name), if (isWithdrawn) null else service(section, name))
                "range" -> NoteEntry.RangeEntry(action, name, if (isWithdrawn) null else range(section, name))
                else -> NoteEntry.TargetEntry(action, TargetId(name), if (isWithdrawn) null else target(section, name))
            }
        return entry
    }

    private fun keysOf(kind: String): Set<String> =
        when (kind) {
            "zone" -> setOf("region")
            "service" -> SERVICE_KEYS
            "range" -> RANGE_KEYS
            else -> TARGET_KEYS
        }

    private fun zone(section: NoteSection, name: String): ZoneSpec? = section.word("region")?.let { ZoneSpec(ZoneName(name), it) }

    private fun service(section: NoteSection, name: String): ServiceSpec? {
        val host = section.optional("host")?.ifEmpty { null }
        val path = section.parsed("path", "a path that starts with /") { value -> value.takeIf { it.startsWith("/") && isWord(it) } }
        val keyText = section.parsed("key", "path:N, query:NAME, header:NAME or none") { value -> value.takeIf { isKeyRule(it) } }
        val methods = methods(section)
        val keyRule = keyText?.let { keyRule(it) }
        val limitMs = section.number("run_limit_ms", 1..if (keyRule == null) MAX_RUN_LIMIT_MS else MAX_KEYED_RUN_LIMIT_MS)
        if (path == null || keyText == null) return null
        if (methods == null || limitMs == null) return null
        return ServiceSpec(ServiceName(name), path, host, keyRule, methods, limitMs)
    }

    private fun methods(section: NoteSection): Set<String>? {
        val expected = "a comma separated list of methods, which may be empty"
        val text = section.optional("idempotent")
        val methods =
            text
                ?.split(',')
                ?.map { it.trim() }
                ?.filter { it.isNotEmpty() }
                ?.toSet()
        if (methods == null) section.addMistake("idempotent", expected, "nothing")
        if (methods != null && !methods.all { HTTP_METHOD.matches(it) }) section.addMistake("idempotent", expected, "'$text'")
        return methods
    }

    private fun isKeyRule(text: String): Boolean = text == "none" || keyRule(text) != null

    private fun keyRule(text: String): KeyRule? {
        val kind = text.substringBefore(':')
        val value = text.substringAfter(':', "")
        return when (kind) {
            "path" -> value.toIntOrNull()?.takeIf { it in 0..MAX_PATH_SEGMENT }?.let { KeyRule.PathSegment(it) }
            "query" -> value.takeIf { isWord(it) }?.let { KeyRule.QueryParameter(it) }
            "header" -> value.takeIf { HEADER_NAME.matches(it) }?.let { KeyRule.Header(it) }
            else -> null
        }
    }

    private fun range(section: NoteSection, name: String): RangeSpec? {
        val service = section.word("service")
        val range = KeyRange(section.optional("from").orEmpty(), section.optional("to")?.ifEmpty { null })
        if (range.to != null && compareKeys(range.from, range.to) >= 0) {
            section.addMistake("to", "a key above '${range.from}'", "'${range.to}'")
        }
        return service?.let { RangeSpec(name, ServiceName(it), range) }
    }

    private fun target(section: NoteSection, name: String): TargetSpec? {
        val service = section.word("service")
        val zone = section.word("zone")
        val address = section.parsed("address", "IP:PORT") { value -> SocketAddress.parseOrNull(value)?.toString() }
        val slots = section.number("slots", 1L..MAX_SLOTS)
        val connections = section.number("connections", 1L..MAX_CONNECTIONS)
        val checksFences = section.parsed("checks_fences", "yes or no") { value -> mapOf("yes" to true, "no" to false)[value] }
        if (service == null || zone == null || address == null) return null
        if (slots == null || connections == null || checksFences == null) return null
        return TargetSpec(
            id = TargetId(name),
            service = ServiceName(service),
            zone = ZoneName(zone),
            host = section.optional("host")?.ifEmpty { null } ?: name,
            address = address,
            slots = slots.toInt(),
            connections = connections.toInt(),
            checksFences = checksFences,
        )
    }
}
