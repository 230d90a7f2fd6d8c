package yuccaflow.router.membership

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterId
import yuccaflow.external.AppendResult

class BatchingAppenderTest {
    private val sent = mutableListOf<ControlRecord>()

    @Nested
    inner class `Records of a burst` {
        /** When a zone is lost, one append per record would exceed the append rate of the log service. */
        @Test
        fun `share a few appends, and each gets the offset of its own`() = runTest {
            val appender = BatchingAppender { record ->
                delay(5)
                sent += record
                AppendResult.Appended(sent.size.toLong())
            }
            val results = (1..100).map { async { appender.append(leaving(it)) } }.awaitAll()
            expectThat(sent.size).isLessThanOrEqualTo(5)
            expectThat(sent.sumOf { (it as? ControlRecord.Batch)?.records?.size ?: 1 }).isEqualTo(100)
            expectThat(results).all { isA<AppendResult.Appended>() }
        }
    }

    @Nested
    inner class `When an append is cancelled` {
        /** Callers must not wait forever for an append that another caller was sending when it was cancelled. */
        @Test
        fun `the others in its batch get an unknown outcome`() = runTest {
            val never = CompletableDeferred<AppendResult>()
            val answers = ArrayDeque(List(4) { CompletableDeferred<AppendResult>() })
            val first = answers.first()
            val appender = BatchingAppender { (answers.removeFirstOrNull() ?: never).await() }
            val busy = (1..4).map { launch { appender.append(leaving(it)) } }
            runCurrent()
            val sender = launch { appender.append(leaving(5)) }
            val other = async { appender.append(leaving(6)) }
            runCurrent()
            first.complete(AppendResult.Appended(1))
            runCurrent()
            sender.cancel()
            expectThat(other.await()).isA<AppendResult.AppendUnknown>()
            busy.forEach { it.cancel() }
        }
    }

    private fun leaving(number: Int) = ControlRecord.RouterLeaving(RouterId("r$number"))
}
