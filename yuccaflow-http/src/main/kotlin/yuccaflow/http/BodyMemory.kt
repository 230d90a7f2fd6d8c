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

    val usedBytes: Long get() = used.get()

    /** Reserves [bytes] more for a body that has [bodyBytes] already. Returns false, and reserves nothing, if it may not grow. */
    fun tryReserve(bodyBytes: Long, bytes: Long): Boolean {
        while (true) {
            val usedBefore = usedBytes
            if (bodyBytes + bytes > limitBytes - usedBefore) return false
            if (used.compareAndSet(usedBefore, usedBefore + bytes)) return true
        }
    }

    /** Reserves [bytes] for a body that exists already, and so cannot be refused. */
    fun reserve(bytes: Long) {
        used.addAndGet(bytes)
    }

    /** Releases [bytes] that were reserved. */
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

/** The part of [memory] that the bodies of one connection take. */
internal class BodyAccount(
    private val memory: BodyMemory,
) {
    private val reservedBytes = AtomicLong()

    /** Like [BodyMemory.tryReserve]. */
    fun tryReserve(bodyBytes: Int, bytes: Int): Boolean {
        val isReserved = memory.tryReserve(bodyBytes.toLong(), bytes.toLong())
        if (isReserved) reservedBytes.addAndGet(bytes.toLong())
        return isReserved
    }

    /** Like [BodyMemory.reserve]. */
    fun reserve(bytes: Int) {
        memory.reserve(bytes.toLong())
        reservedBytes.addAndGet(bytes.toLong())
    }

    /** Like [BodyMemory.release]. */
    fun release(bytes: Int) {
        reservedBytes.addAndGet(-bytes.toLong())
        memory.release(bytes.toLong())
    }

    /** Releases everything that is still reserved, because the connection has ended. */
    fun releaseAll() = memory.release(reservedBytes.getAndSet(0))
}

/** Collects the parts of a body of at most [limitBytes] and reserves memory for them in [account]. */
internal class BodyBuffer(
    private val account: BodyAccount,
    private val limitBytes: Int,
) {
    enum class AppendResult { APPENDED, OVER_LIMIT, NO_MEMORY }

    private val parts = ArrayList<ByteArray>()
    private var sizeBytes = 0

    fun append(part: ByteArray): AppendResult {
        if (part.size > limitBytes - sizeBytes) return AppendResult.OVER_LIMIT
        if (!account.tryReserve(sizeBytes, part.size)) return AppendResult.NO_MEMORY
        parts += part
        sizeBytes += part.size
        return AppendResult.APPENDED
    }

    /** Drops the parts and releases their memory. */
    fun discard() {
        parts.clear()
        account.release(sizeBytes)
        sizeBytes = 0
    }

    /** Returns the whole body, for which memory stays reserved. Must be the last call. */
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
