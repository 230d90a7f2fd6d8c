package yuccaflow.control

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.map

internal class ConfigRulesTest {
    private var state = publish(ConfigState.Empty, ConfigRecord.Note("n1", BASE_NOTE))

    private fun publish(before: ConfigState, record: ConfigRecord?): ConfigState = applyConfigRecord(before, before.position + 1, record)

    private fun note(id: String, base: Long, body: String): ConfigRecord.Note =
        ConfigRecord.Note(id, "[note]\nid = $id\nbase = $base\n${body.trimIndent()}")

    private fun rejection(base: Long, body: String): String? = publish(state, note("n2", base, body)).outcomes.last().rejection

    @Nested
    inner class Parsing {
        @Test
        fun `reads every kind of entry`() {
            expectThat(state.outcomes).containsExactly(ConfigRecordOutcome("n1", 1, 1, null))
            expectThat(state.services.getValue(SERVICE)).isEqualTo(
                ServiceSpec(SERVICE, "/katalog", null, KeyRule.PathSegment(1), setOf("GET", "HEAD"), 500),
            )
            expectThat(state.ranges.getValue("katalog-2").range).isEqualTo(KeyRange("m", null))
            expectThat(state.targets.getValue(TargetId("katalog-01")).host).isEqualTo("katalog-01")
        }

        @Test
        fun `reports all mistakes of a note, not just the first`() {
            val text =
                "[note]\nid = a b\n[zone x]\naction = add\n[service s]\naction = add\npath = s\nkey = cookie:x\nidempotent = GET\n" +
                    "run_limit_ms = 0\n[target t]\naction = withdraw\nslots = 5\n[rack r]\naction = add\n[zone x]\naction = remove\ncolour = red"
            val mistakes = expectThat(parseReleaseNote(text)).isA<NoteParseResult.Invalid>().get { mistakes }
            mistakes.map { "${it.section}/${it.key}" }.contains(
                "note/id",
                "note/base",
                "zone x/null",
                "zone x/action",
                "service s/path",
                "service s/key",
                "service s/run_limit_ms",
                "target t/slots",
                "rack r/null",
            )
        }

        @Test
        fun `rejects text that is not INI`() {
            expectThat(parseReleaseNote("id = 5")).isA<NoteParseResult.Invalid>()
            expectThat(parseReleaseNote("")).isA<NoteParseResult.Invalid>().get { mistakes }.hasSize(1)
        }

        @Test
        fun `rejects run limits that would keep the keys of a lost target unavailable for too long`() {
            val long = "[service katalog]\naction = change\npath = /k\nkey = query:id\nidempotent =\nrun_limit_ms = 801"
            expectThat(rejection(1, long)).isNotNull().contains("a whole number from 1 to 800")
            expectThat(rejection(1, long.replace("801", "800"))).isNull()
        }
    }

    @Nested
    inner class Accepting {
        @Test
        fun `rejects the second of two concurrent notes that change the same entry`() {
            val change = "[zone brest]\naction = change\nregion = "
            state = publish(state, note("first", 1, change + "a"))
            state = publish(state, note("second", 1, change + "b"))
            expectThat(state.zones.getValue(ZoneName("brest")).region).isEqualTo("a")
            expectThat(state.outcomes.last().rejection).isNotNull().contains("was changed by version 2; the note is based on version 1")
            expectThat(rejection(1, "[zone rennes]\naction = add\nregion = breizh")).isNull()
            expectThat(rejection(9, change + "c")).isNotNull().contains("expected at most the current version 2, found 9")
        }

        @Test
        fun `ignores a record that is published twice`() {
            val again = publish(state, ConfigRecord.Note("n1", BASE_NOTE))
            expectThat(again).isEqualTo(state.copy(position = 2))
            expectThat(publish(again, null)).isEqualTo(state.copy(position = 3))
        }

        @Test
        fun `rejects references to unknown entries and the withdrawal of entries in use`() {
            expectThat(rejection(1, "[zone brest]\naction = withdraw")).isNotNull().contains("expected a zone in force, found brest")
            expectThat(rejection(1, "[service katalog]\naction = withdraw")).isNotNull().contains("expected a service in force")
            expectThat(rejection(1, "[zone nantes]\naction = withdraw")).isNotNull().contains("since it does not exist; found withdraw")
            expectThat(rejection(1, "[zone brest]\naction = add\nregion = x")).isNotNull().contains("since it exists; found add")
        }

        @Test
        fun `rejects gaps and overlaps between ranges`() {
            expectThat(rejection(1, "[range katalog-1]\naction = withdraw")).isNotNull().contains("no range covers the keys from '' to 'm'")
            expectThat(rejection(1, "[range katalog-2]\naction = withdraw")).isNotNull().contains("no range covers the keys from 'm' on")
            expectThat(rejection(1, "[range katalog-3]\naction = add\nservice = katalog\nfrom = z")).isNotNull().contains("overlaps")
        }

        @Test
        fun `rejects two targets at one address`() {
            val second = BASE_NOTE.substringAfter("[target katalog-01]").prependIndent("")
            expectThat(rejection(1, "[target katalog-02]$second")).isNotNull().contains("katalog-01, katalog-02 have the same address")
        }

        @Test
        fun `marks zones and hosts as leaving and returned`() {
            val target = state.targets.getValue(TargetId("katalog-01"))
            state = publish(state, ConfigRecord.Mark("m1", MarkSubject.ZONE, "brest", isLeaving = true))
            expectThat(state.isInService(target)).isEqualTo(false)
            state = publish(state, ConfigRecord.Mark("m2", MarkSubject.ZONE, "brest", isLeaving = false))
            expectThat(state.isInService(target)).isEqualTo(true)
            state = publish(state, ConfigRecord.Mark("m3", MarkSubject.HOST, "katalog-01", isLeaving = true))
            expectThat(state.isInService(target)).isEqualTo(false)
            state = publish(state, ConfigRecord.Mark("m4", MarkSubject.ZONE, "nantes", isLeaving = true))
            expectThat(state.outcomes.last().rejection).isNotNull().contains("expected a known zone, found nantes")
            expectThat(state.version).isEqualTo(4)
        }

        @Test
        fun `rejects an accepted note that is published again after its outcome was dropped`() {
            repeat(1_001) { state = publish(state, ConfigRecord.Mark("m$it", MarkSubject.HOST, "h", isLeaving = it % 2 == 0)) }
            expectThat(state.outcomes).hasSize(1_000)
            state = publish(state, ConfigRecord.Note("n1", BASE_NOTE))
            expectThat(state.outcomes.last().rejection).isNotNull().contains("was changed by version 1")
        }
    }
}
