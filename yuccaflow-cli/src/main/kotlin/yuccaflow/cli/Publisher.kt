package yuccaflow.cli

import yuccaflow.base.TimerService
import yuccaflow.control.ConfigRecord
import yuccaflow.control.ConfigRecordOutcome
import yuccaflow.control.applyConfigRecord
import yuccaflow.control.encodeConfigRecord
import yuccaflow.external.AppendResult
import yuccaflow.external.LogService
import yuccaflow.external.Streams

/** Result of publishing a record. */
internal sealed interface PublishResult {
    /** The record is accepted and will not be reverted. */
    data class Accepted(
        val offset: Long,
        val version: Long,
    ) : PublishResult

    /** The record is not in force and never will be. */
    data class Rejected(
        val reason: String,
    ) : PublishResult

    /** It is unknown whether the record is in the stream, or it is but its outcome could not be read. */
    data class Unknown(
        val reason: String,
    ) : PublishResult

    /** The record is not in the stream. */
    data class NotPublished(
        val reason: String,
    ) : PublishResult
}

/**
 * Publishes records to `config`.
 *
 * An append with an unknown outcome is retried only after the stream was read up to its end and the record was not found. If the first
 * append takes effect after that, readers ignore the second record, because both have the same id.
 */
internal class Publisher(
    private val log: LogService,
    private val reader: StreamReader,
    private val timer: TimerService,
) {
    /** Publishes [record]. Returns as soon as its outcome is known, or after [deadlineMs]. */
    suspend fun publish(record: ConfigRecord, deadlineMs: Long): PublishResult {
        // Reads without retries, so that an unreachable log service is reported at once.
        readUntil(timer.nowMs())?.let { return PublishResult.NotPublished(it) }
        outcome(record)?.let { return it }
        // A record that would be rejected is not appended, because it would use up its id.
        currentRejection(record)?.let { return PublishResult.Rejected(it) }
        return appendUntilVisible(record, deadlineMs)
    }

    private suspend fun appendUntilVisible(record: ConfigRecord, deadlineMs: Long): PublishResult {
        var mayBeInStream = false
        while (true) {
            when (val result = log.append(Streams.CONFIG, encodeConfigRecord(record))) {
                is AppendResult.Appended, is AppendResult.AppendUnknown -> mayBeInStream = true
                is AppendResult.NotAppended -> if (!mayBeInStream) return PublishResult.NotPublished(result.reason)
            }
            readUntil(deadlineMs)?.let { return PublishResult.Unknown(it) }
            outcome(record)?.let { return it }
            if (timer.nowMs() >= deadlineMs) return PublishResult.Unknown("the record does not appear in the stream")
            timer.sleep(RETRY_MS)
        }
    }

    /** Reads the stream up to its end, retrying until [deadlineMs]. Returns null on success, otherwise the reason of the failure. */
    private suspend fun readUntil(deadlineMs: Long): String? {
        while (true) {
            try {
                reader.readConfig()
                return null
            } catch (failure: LogReadException) {
                if (timer.nowMs() >= deadlineMs) return failure.message.orEmpty()
            }
            timer.sleep(RETRY_MS)
        }
    }

    /**
     * Reads the stream up to its current end.
     * @throws LogReadException if the stream cannot be read up to its end.
     */
    suspend fun refresh() = reader.readConfig()

    /** Returns why [record] would be rejected after the last record read, or null if it would be accepted. */
    fun currentRejection(record: ConfigRecord): String? {
        val next = applyConfigRecord(reader.config, reader.config.position + 1, record)
        return next.outcomes.firstOrNull { it.id == record.id }?.rejection
    }

    /** Returns the outcome of [record] as read from the stream, or null if the stream does not hold it. */
    private fun outcome(record: ConfigRecord): PublishResult? {
        val first = reader.firstRecord(record.id)
        if (first != null && first.record != record) {
            return PublishResult.Rejected("the id ${record.id} is already in use by another record, at offset ${first.offset}")
        }
        return reader.config.outcomes
            .firstOrNull { it.id == record.id }
            ?.toPublishResult()
    }

    private fun ConfigRecordOutcome.toPublishResult(): PublishResult {
        val accepted = version
        return if (accepted == null) PublishResult.Rejected(rejection.orEmpty()) else PublishResult.Accepted(offset, accepted)
    }

    private companion object {
        /** Limits the load on the log service, which is likely overloaded if its responses are lost. */
        const val RETRY_MS = 250L
    }
}
