package yuccaflow.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import yuccaflow.control.ConfigRecord
import yuccaflow.control.NoteParseResult
import yuccaflow.control.RouterId
import yuccaflow.control.parseReleaseNote
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

/** The result of publishing a record, as printed with `--json`. */
@Serializable
internal data class PublishReport(
    val id: String,
    val result: PublishOutcome,
    val offset: Long? = null,
    val version: Long? = null,
    val reason: String? = null,
    val inForce: List<RouterId> = emptyList(),
    val missing: List<MissingRouter> = emptyList(),
)

/** The outcome of a published record in a [PublishReport]. */
@Serializable
internal enum class PublishOutcome {
    @SerialName("accepted")
    ACCEPTED,

    @SerialName("rejected")
    REJECTED,

    @SerialName("unknown")
    UNKNOWN,

    @SerialName("not-published")
    NOT_PUBLISHED,
}

/** The result of `check`, as printed with `--json`. */
@Serializable
internal data class CheckReport(
    @SerialName("valid")
    val isValid: Boolean,
    val mistakes: List<String>,
)

/** The commands that check and publish release notes and marks. */
internal class PublishCommands(
    private val publisher: Publisher?,
    private val rollout: RolloutMonitor?,
    private val console: Console,
    private val nowMs: () -> Long,
) {
    /** Checks the release note in [file]. With a log service, also checks whether the current configuration would accept it. */
    suspend fun check(file: String): ExitStatus = withNote(file) { note, entries ->
        val rejection = publisher?.let {
            it.refresh()
            it.currentRejection(note)
        }
        console.result(CheckReport.serializer(), CheckReport(rejection == null, listOfNotNull(rejection))) {
            rejection?.let { "$file would be rejected: $it" } ?: "$file is a valid release note with $entries entries"
        }
        if (rejection == null) ExitStatus.DONE else ExitStatus.REJECTED
    }

    /** Publishes the release note in [file]. */
    suspend fun publish(
        file: String,
        timeoutMs: Long,
    ): ExitStatus = withNote(file) { note, _ -> publishRecord(note, "note ${note.id}", timeoutMs) }

    /** Publishes a mark with a new id. */
    suspend fun mark(command: Command.Mark, timeoutMs: Long): ExitStatus {
        val state = if (command.isLeaving) "leaving" else "returned"
        val subject = command.subject.name.lowercase()
        val record = ConfigRecord.Mark("mark-${UUID.randomUUID()}", command.subject, command.name, command.isLeaving)
        return publishRecord(record, "mark of $subject ${command.name} as $state", timeoutMs)
    }

    private inline fun withNote(file: String, use: (ConfigRecord.Note, Int) -> ExitStatus): ExitStatus {
        val text = try {
            Files.readString(Path.of(file))
        } catch (failure: IOException) {
            console.error("cannot read $file as UTF-8 text (${failure.javaClass.simpleName}). Check the path and its permissions.")
            return ExitStatus.USAGE
        }
        return when (val parsed = parseReleaseNote(text)) {
            is NoteParseResult.Parsed -> use(ConfigRecord.Note(parsed.note.id, text), parsed.note.entries.size)
            is NoteParseResult.Invalid -> {
                val mistakes = parsed.mistakes.map { it.toString() }
                console.result(CheckReport.serializer(), CheckReport(false, mistakes)) { mistakes.joinToString("\n") }
                console.error("$file is not a valid release note. Correct the lines named above; nothing was published.")
                ExitStatus.USAGE
            }
        }
    }

    private suspend fun publishRecord(record: ConfigRecord, what: String, timeoutMs: Long): ExitStatus {
        val deadlineMs = nowMs() + timeoutMs
        return when (val published = checkNotNull(publisher).publish(record, deadlineMs)) {
            is PublishResult.Accepted -> awaitInForce(record, what, published, deadlineMs)
            is PublishResult.Rejected -> {
                print(
                    PublishReport(record.id, PublishOutcome.REJECTED, reason = published.reason),
                    "The $what was rejected: ${published.reason}",
                )
                console.error("nothing has changed. Correct the cause, use the version shown by `yuccactl notes` as base and a new id.")
                ExitStatus.REJECTED
            }
            is PublishResult.Unknown -> {
                print(PublishReport(record.id, PublishOutcome.UNKNOWN, reason = published.reason), "The outcome of the $what is unknown")
                console.error("${published.reason}. The record may still take effect. ${retryAdvice(record)}")
                ExitStatus.UNKNOWN
            }
            is PublishResult.NotPublished -> {
                print(PublishReport(record.id, PublishOutcome.NOT_PUBLISHED, reason = published.reason), "The $what was not published")
                console.error("${published.reason}. Check --log and the log service, then run the command again.")
                ExitStatus.UNREACHABLE
            }
        }
    }

    private fun retryAdvice(record: ConfigRecord): String = when (record) {
        is ConfigRecord.Note -> "Run the command again with the same file: a note is never applied twice."
        is ConfigRecord.Mark -> "Run the command again: a repeated mark changes nothing."
    }

    private suspend fun awaitInForce(record: ConfigRecord, what: String, accepted: PublishResult.Accepted, deadlineMs: Long): ExitStatus {
        console.progress("The $what is accepted as version ${accepted.version} (offset ${accepted.offset})")
        val state = checkNotNull(rollout).await(accepted.offset, deadlineMs) {
            console.progress("In force on ${it.inForce.size} of ${it.inForce.size + it.missing.size} live routers")
        }
        val report = PublishReport(
            record.id,
            PublishOutcome.ACCEPTED,
            accepted.offset,
            accepted.version,
            inForce = state.inForce,
            missing = state.missing,
        )
        if (state.missing.isEmpty()) {
            val text = if (state.inForce.isEmpty()) "accepted; no router is live, so it takes effect when routers start" else inForce(state)
            print(report, "The $what is $text")
            return ExitStatus.DONE
        }
        val rows = state.missing.map { listOf(it.router.value, it.zone, it.host, it.reason) }
        print(report, "Not yet in force on:\n" + table(listOf("ROUTER", "ZONE", "HOST", "REASON"), rows))
        console.error(
            "the $what is accepted and will not be reverted, but is not in force on these routers. " +
                "Check their hosts with `yuccactl status`.",
        )
        return ExitStatus.UNKNOWN
    }

    private fun inForce(state: RolloutState) = "in force on all ${state.inForce.size} live routers"

    private fun print(report: PublishReport, text: String) = console.result(PublishReport.serializer(), report) { text }
}
