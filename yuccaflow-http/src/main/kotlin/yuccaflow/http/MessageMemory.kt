package yuccaflow.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the bytes of the heads and bodies of messages that a process holds for all its connections together.
 *
 * A body may grow only while it is not larger than what is still free, and a head only while all that its connection holds is not. So a
 * few large consumers cannot take the room of the many small ones, and what is free never reaches zero.
 */
internal class MessageMemory(
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
        val ofProcess = MessageMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR)
    }
}

/**
 * The part of [memory] that the messages of one connection take: their heads, also while they are being received, and their bodies. It is
 * used by the event loop and by the coroutine of the connection.
 */
internal class MemoryAccount(
    private val memory: MessageMemory,
) {
    private var reservedBytes = 0L
    private var isClosed = false

    /** Like [MessageMemory.tryReserve]. Returns false after [close]. */
    @Synchronized
    fun tryReserve(bodyBytes: Int, bytes: Int): Boolean = tryReserve(bodyBytes.toLong(), bytes)

    /**
     * Reserves [bytes] for a head that is being received, unless the connection would then hold more than what is still free. A head that
     * arrives at once is so treated like one that arrives in parts. Returns false after [close].
     */
    @Synchronized
    fun tryReserveForHead(bytes: Int): Boolean = tryReserve(reservedBytes + bytes, bytes)

    private fun tryReserve(sizeBytes: Long, bytes: Int): Boolean {
        val isReserved = !isClosed && memory.tryReserve(sizeBytes, bytes.toLong())
        if (isReserved) reservedBytes += bytes
        return isReserved
    }

    /** Like [MessageMemory.reserve]. Does nothing after [close]. */
    @Synchronized
    fun reserve(bytes: Int) {
        if (isClosed) return
        memory.reserve(bytes.toLong())
        reservedBytes += bytes
    }

    /** Releases [bytes], or what is still reserved of them after [releaseAll]. */
    @Synchronized
    fun release(bytes: Int) {
        val released = minOf(bytes.toLong(), reservedBytes)
        reservedBytes -= released
        memory.release(released)
    }

    /** Releases everything that is still reserved, because the exchange has ended. */
    @Synchronized
    fun releaseAll() {
        memory.release(reservedBytes)
        reservedBytes = 0
    }

    /** Releases everything for good, because the connection has ended. The event loop may still decode what it received before. */
    @Synchronized
    fun close() {
        isClosed = true
        releaseAll()
    }
}

/** Collects the parts of a body of at most [limitBytes] and reserves memory for them in [account]. */
internal class BodyBuffer(
    private val account: MemoryAccount,
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
