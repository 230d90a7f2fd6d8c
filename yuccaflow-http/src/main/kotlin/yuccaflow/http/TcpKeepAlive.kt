package yuccaflow.http

import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/**
 * Settings of TCP keep-alive, which closes connections whose peer is gone. The first probe is sent after [idleS] seconds without traffic,
 * further ones every [intervalS] seconds. The connection is closed after [count] unanswered probes.
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
