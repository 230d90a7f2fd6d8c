package yuccaflow.http

import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/**
 * TCP keep-alive probes, which close a connection that has gone silent. The first probe leaves after [idleS] seconds without traffic, the
 * next ones every [intervalS] seconds; the connection is closed after [count] unanswered ones.
 */
data class TcpKeepAlive(
    val idleS: Int = 1,
    val intervalS: Int = 1,
    val count: Int = 2,
)

internal fun TcpKeepAlive.options(): Map<ChannelOption<*>, Any> = mapOf(
    ChannelOption.SO_KEEPALIVE to true,
    NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE) to idleS,
    NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL) to intervalS,
    NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT) to count,
)
