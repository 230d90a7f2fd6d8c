package yuccaflow.bench

import yuccaflow.http.SocketAddress
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** A block of consecutive loopback ports. */
internal class Ports private constructor(
    private val first: Int,
) {
    private var next = 0

    /** The next unused address of the block. */
    fun take(): SocketAddress = take(1)

    /** The first address of [count] consecutive ones. */
    fun take(count: Int): SocketAddress {
        check(next + count <= BLOCK) { "expected at most $BLOCK ports, asked for ${next + count}" }
        return SocketAddress(LOOPBACK, first + next).also { next += count }
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        private const val BLOCK = 400

        // Below the range from which the kernel takes the ports of outgoing connections.
        private const val LOWEST = 12_000
        private const val HIGHEST = 32_000

        /** Finds a block of which every port is free now. The place is random, so that runs side by side rarely meet. */
        fun free(): Ports {
            val blocks = (LOWEST until HIGHEST - BLOCK step BLOCK).shuffled(Random.Default)
            return Ports(blocks.first { first -> (first until first + BLOCK).all(::isFree) })
        }

        private fun isFree(port: Int): Boolean =
            runCatching { ServerSocket(port, 1, InetAddress.getByName(LOOPBACK)).close() }.isSuccess
    }
}
