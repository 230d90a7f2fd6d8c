package yuccaflow.bench

import yuccaflow.http.SocketAddress
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** A block of consecutive loopback ports, handed out in order. */
internal class PortBlock private constructor(
    private val first: Int,
) {
    private var nextIndex = 0

    /** Returns the next unused address. */
    fun next(): SocketAddress = next(1)

    /** Returns the first of [count] consecutive unused addresses. */
    fun next(count: Int): SocketAddress {
        check(nextIndex + count <= BLOCK_SIZE) { "expected at most $BLOCK_SIZE ports in use, found ${nextIndex + count}" }
        return SocketAddress(LOOPBACK, first + nextIndex).also { nextIndex += count }
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        private const val BLOCK_SIZE = 400

        // Below the ephemeral ports, from which the kernel takes the local ports of outgoing connections.
        private const val MIN_PORT = 12_000
        private const val MAX_PORT = 32_000

        /** Finds a block whose ports are all free. The block is chosen at random, so that concurrent runs rarely collide. */
        fun findFree(): PortBlock {
            val blocks = (MIN_PORT until MAX_PORT - BLOCK_SIZE step BLOCK_SIZE).shuffled(Random.Default)
            return PortBlock(blocks.first { first -> (first until first + BLOCK_SIZE).all(::isFree) })
        }

        private fun isFree(port: Int): Boolean =
            runCatching { ServerSocket(port, 1, InetAddress.getByName(LOOPBACK)).close() }.isSuccess
    }
}
