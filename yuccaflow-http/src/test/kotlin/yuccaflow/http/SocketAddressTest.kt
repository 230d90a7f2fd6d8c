package yuccaflow.http

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

@DisplayName("A socket address")
class SocketAddressTest {
    @Nested
    @DisplayName("parsed from text")
    inner class Parsed {
        /** Guards against text that is accepted as an address, and for which a later connection attempt throws an exception. */
        @ParameterizedTest
        @ValueSource(
            strings = [
                "[fe80::2%eth7]:8080",
                "[::1%lo]:8080",
                "[::1%1]:8080",
                "fe80::2%eth7:8080",
                "[[::1]]:8080",
                "[10.0.0.1]:8080",
                "::1:8080",
                "10.0.0.1.:8080",
                "10.0.0:8080",
                "10.0.0.256:8080",
                "0x0a.0.0.1:8080",
                "167772161:8080",
                "localhost:8080",
                "::8080",
                ":8080",
                "8080",
                "",
            ],
        )
        fun `is null unless the host is an IP address without a zone`(text: String) {
            expectThat(SocketAddress.parseOrNull(text)).isNull()
        }

        /** Guards against a port that another reader of the same text takes for a different one, or for none. */
        @ParameterizedTest
        @ValueSource(strings = ["", "+80", "-0", "-1", "65536", "4294967376", "80 ", "8o", "\u0668\u0660", "000080", "0x50"])
        fun `is null unless the port has one to five decimal digits and is at most 65535`(port: String) {
            expectThat(SocketAddress.parseOrNull("10.0.0.1:$port")).isNull()
        }

        /** Guards against an address that cannot be used to connect, whatever other form the text had. */
        @ParameterizedTest
        @ValueSource(
            strings = ["10.0.0.1:80", "255.255.255.255:65535", "0.0.0.0:0", "[::1]:80", "[::]:80", "[fe80::2]:80", "[::ffff:10.0.0.1]:80"],
        )
        fun `converts to an address for a connection`(text: String) {
            val address = SocketAddress.parseOrNull(text)
            expectThat(address).isNotNull().get { toInet().isUnresolved }.isEqualTo(false)
        }

        /** Guards against two addresses of one server that differ only in how its writers spell them. */
        @Test
        fun `has its host in canonical form`() {
            expectThat(SocketAddress.parseOrNull("[0:0:0:0:0:0:0:1]:80")).isEqualTo(SocketAddress("::1", 80))
            expectThat(SocketAddress.parseOrNull("[::ffff:10.0.0.1]:80")).isEqualTo(SocketAddress("10.0.0.1", 80))
            expectThat(SocketAddress.parseOrNull("[FE80::2]:80").toString()).isEqualTo("[fe80::2]:80")
        }
    }

    /** Guards against an address that is built from a name, for which a connection attempt would look it up or throw an exception. */
    @ParameterizedTest
    @ValueSource(strings = ["localhost", "fe80::2%eth7", "[::1]", ""])
    fun `cannot be created without an IP address`(host: String) {
        expectThrows<IllegalArgumentException> { SocketAddress(host, 80) }
    }
}
