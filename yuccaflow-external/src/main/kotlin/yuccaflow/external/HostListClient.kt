package yuccaflow.external

/** What the platform says of a host. */
enum class HostState { LIVE, LEAVING }

/** One entry of the platform's host list. */
data class HostEntry(
    val host: String,
    val zone: String,
    val state: HostState,
)

/** Result of asking for the host list. */
sealed interface HostListResult {
    /** The list as the platform knows it; it lags behind reality. */
    data class Listed(
        val hosts: List<HostEntry>,
    ) : HostListResult

    /** The list could not be had. */
    data class ListFailed(
        val reason: String,
    ) : HostListResult
}

/** The platform's list of live and leaving hosts. */
fun interface HostListClient {
    /** Fetches the current list. */
    suspend fun hosts(): HostListResult
}
