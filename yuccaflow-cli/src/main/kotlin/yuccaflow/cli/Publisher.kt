package yuccaflow.cli

import yuccaflow.base.TimerService
import yuccaflow.control.ConfigRecord
import yuccaflow.control.ConfigRecordOutcome
import yuccaflow.control.applyConfigRecord
import yuccaflow.control.encodeConfigRecord
import yuccaflow.external.AppendResult
import yuccaflow.external.LogService
import yuccaflow.external.Streams

/** What became of a published record. */
internal sealed interface Published {
    /** The record is accepted and never reverts. */
    data class Accepted(
        val offset: Long,
        val version: Long,
    ) : Published

    /** The record is not in force and never will be. */
    data class Rejected(
        val reason: String,
    ) : Published

    /** The record may or may not be in the stream, or is in it and its outcome could not be read. */
    data class Unknown(
        val reason: String,
    ) : Published

    /** The record is not in the stream. */
    data class NotPublished(
        val reason: String,
    ) : Published
}

/**
 * Publishes records on `config`. An append whose answer is lost is repeated only after reading the stream up to an end without the
 * record; should the lost one still arrive, readers ignore the later of the two.
 */
internal class Publisher(
    private val log: LogService,
    private val reader: StreamReader,
    private val timer: TimerService,
) {
    /** Publishes [record] and returns when its outcome is known, or when [deadlineMs] has passed. */
    suspend fun publish(record: ConfigRecord, deadlineMs: Long): Published {
        // The deadline is the present, so that an unreachable log service is reported at once.
        readBefore(timer.nowMs())?.let { return Published.NotPublished(it) }
        outcome(record)?.let { return it }
        // A rejected record uses up its id, so what would be rejected now is not appended.
        rejectionNow(record)?.let { return Published.Rejected(it) }
        return appendUntilRead(record, deadlineMs)
    }

    private suspend fun appendUntilRead(record: ConfigRecord, deadlineMs: Long): Published {
        var mayBeInStream = false
        while (true) {
            when (val result = log.append(Streams.CONFIG, encodeConfigRecord(record))) {
                is AppendResult.Appended, is AppendResult.AppendUnknown -> mayBeInStream = true
                is AppendResult.NotAppended -> if (!mayBeInStream) return Published.NotPublished(result.reason)
            }
            readBefore(deadlineMs)?.let { return Published.Unknown(it) }
            outcome(record)?.let { return it }
            if (timer.nowMs() >= deadlineMs) return Published.Unknown("the record does not appear in the stream")
            timer.sleep(RETRY_MS)
        }
    }

    /** Reads the stream as soon as it can be read. Returns why it could not be by [deadlineMs], or null. */
    private suspend fun readBefore(deadlineMs: Long): String? {
        while (true) {
            try {
                reader.readConfig()
                return null
            } catch (failure: LogUnreadable) {
                if (timer.nowMs() >= deadlineMs) return failure.message.orEmpty()
            }
            timer.sleep(RETRY_MS)
        }
    }

    /**
     * Reads the stream up to its present end.
     * @throws LogUnreadable when that is not possible.
     */
    suspend fun readPresent() = reader.readConfig()

    /** Why the stream as last read would reject [record], or null. */
    fun rejectionNow(record: ConfigRecord): String? {
        val next = applyConfigRecord(reader.config, reader.config.position + 1, record)
        return next.outcomes.firstOrNull { it.id == record.id }?.rejection
    }

    /** The outcome of [record] as read from the stream, or null when it is not there. */
    private fun outcome(record: ConfigRecord): Published? {
        val first = reader.firstRecord(record.id)
        if (first != null && first.record != record) {
            return Published.Rejected("the id ${record.id} is already in use by another record, at offset ${first.offset}")
        }
        return reader.config.outcomes
            .firstOrNull { it.id == record.id }
            ?.toPublished()
    }

    private fun ConfigRecordOutcome.toPublished(): Published {
        val accepted = version
        return if (accepted == null) Published.Rejected(rejection.orEmpty()) else Published.Accepted(offset, accepted)
    }

    private companion object {
        // A log service that loses answers is likely overloaded.
        const val RETRY_MS = 250L
    }
}
