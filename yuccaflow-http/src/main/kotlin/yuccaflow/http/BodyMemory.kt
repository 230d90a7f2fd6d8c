package yuccaflow.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the bytes of the bodies that a process holds for all its connections together.
 *
 * A body may grow only while it is not larger than what is still free. So a few large or endless bodies cannot take the room of the many
 * small ones, and what is free never reaches zero.
 */
internal class BodyMemory(
    private val limitBytes: Long,
) {
    private val used = AtomicLong()

    /** The bytes that are counted now. */
    val usedBytes: Long get() = used.get()

    /** Counts [bytes] more for a body of which [bodyBytes] are held already. Returns false, and counts nothing, if it may not grow. */
    fun tryReserve(bodyBytes: Long, bytes: Long): Boolean {
        while (true) {
            val usedBefore = usedBytes
            if (bodyBytes + bytes > limitBytes - usedBefore) return false
            if (used.compareAndSet(usedBefore, usedBefore + bytes)) return true
        }
    }

    /** Counts [bytes] that are held already. */
    fun reserve(bytes: Long) {
        used.addAndGet(bytes)
    }

    /** Gives up [bytes] that were counted. */
    fun release(bytes: Long) {
        used.addAndGet(-bytes)
    }

    companion object {
        /** Leaves room for a joined copy of the largest body beside the other objects of the process. */
        private const val HEAP_DIVISOR = 4L

        /** The memory that all servers and clients of the process share. */
        val ofProcess = BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR)
    }
}

/** The bytes of bodies that one connection holds in [memory]. */
internal class BodyAccount(
    private val memory: BodyMemory,
) {
    private val heldBytes = AtomicLong()

    /** Holds [bytes] more of a body of which [bodyBytes] are held already. Returns false if the body may not grow. */
    fun tryHold(bodyBytes: Long, bytes: Int): Boolean {
        val isReserved = memory.tryReserve(bodyBytes, bytes.toLong())
        if (isReserved) heldBytes.addAndGet(bytes.toLong())
        return isReserved
    }

    /** Holds a body of [bytes] that exists already. */
    fun hold(bytes: Int) {
        memory.reserve(bytes.toLong())
        heldBytes.addAndGet(bytes.toLong())
    }

    /** Gives up [bytes], once a body is not needed any more. */
    fun drop(bytes: Int) {
        heldBytes.addAndGet(-bytes.toLong())
        memory.release(bytes.toLong())
    }

    /** Gives up everything, when the connection has ended. */
    fun dropAll() = memory.release(heldBytes.getAndSet(0))
}

/** Collects the parts of a body of at most [limitBytes], which [account] holds until it gives them up. */
internal class BodyBuffer(
    private val account: BodyAccount,
    private val limitBytes: Int,
) {
    enum class AppendResult { APPENDED, OVER_LIMIT, NO_MEMORY }

    private val parts = ArrayList<ByteArray>()
    private var sizeBytes = 0

    fun append(part: ByteArray): AppendResult {
        if (part.size > limitBytes - sizeBytes) return AppendResult.OVER_LIMIT
        if (!account.tryHold(sizeBytes.toLong(), part.size)) return AppendResult.NO_MEMORY
        parts += part
        sizeBytes += part.size
        return AppendResult.APPENDED
    }

    /** Gives up the parts, because the body is not wanted any more. */
    fun discard() {
        parts.clear()
        account.drop(sizeBytes)
        sizeBytes = 0
    }

    /** Returns the whole body. Must be the last call. */
    fun join(): ByteArray {
        if (parts.size == 1) return parts.single()
        val body = ByteArray(sizeBytes)
        var offset = 0
        for (part in parts) {
            part.copyInto(body, offset)
            offset += part.size
        }
        return body
    }
}
