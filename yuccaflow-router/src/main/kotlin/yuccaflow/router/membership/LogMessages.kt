package yuccaflow.router.membership

import yuccaflow.external.AppendResult
import yuccaflow.external.LogRecord
import yuccaflow.external.ReadResult
import yuccaflow.router.peer.PeerLogRecord
import yuccaflow.router.peer.PeerMessage

/** Maximum total size of the records in one answer to a peer, well below the limit of a frame. */
private const val ANSWER_LIMIT_BYTES = 1_000_000

/** Converts the result of a read to a message for a peer. If there are records, the message holds at least one, however large. */
internal fun ReadResult.toAnswer(fromMemory: Boolean): PeerMessage.ReadLogAnswer = when (this) {
    is ReadResult.Read -> {
        val lines = withinLimit(records).map { PeerLogRecord(it.offset, it.data) }
        PeerMessage.ReadLogAnswer(lines, firstOffset, endOffset, expired = false, failure = null, fromMemory = fromMemory)
    }
    is ReadResult.Expired -> PeerMessage.ReadLogAnswer(emptyList(), firstOffset, 0, expired = true, failure = null)
    is ReadResult.ReadFailed -> PeerMessage.ReadLogAnswer(emptyList(), 0, 0, expired = false, failure = reason)
}

/** Converts the answer of a peer to the result of the read. */
internal fun PeerMessage.ReadLogAnswer.toReadResult(): ReadResult {
    val reason = failure
    return when {
        reason != null -> ReadResult.ReadFailed(reason)
        expired -> ReadResult.Expired(firstOffset)
        else -> ReadResult.Read(records.map { LogRecord(it.offset, it.data) }, firstOffset, endOffset)
    }
}

/** Converts the result of an append to a message for a peer. */
internal fun AppendResult.toAnswer(): PeerMessage.AppendLogAnswer = when (this) {
    is AppendResult.Appended -> PeerMessage.AppendLogAnswer(offset, unknown = false, reason = "")
    is AppendResult.NotAppended -> PeerMessage.AppendLogAnswer(null, unknown = false, reason = reason)
    is AppendResult.AppendUnknown -> PeerMessage.AppendLogAnswer(null, unknown = true, reason = reason)
}

private fun withinLimit(records: List<LogRecord>): List<LogRecord> {
    var sum = 0
    return records.takeWhile { record ->
        val first = sum == 0
        sum += record.data.size
        first || sum <= ANSWER_LIMIT_BYTES
    }
}
