package yuccaflow.external

/** State of a host as reported by the platform. */
enum class HostState { LIVE, LEAVING }

/** One entry of the platform's host list. */
data class HostEntry(
    val host: String,
    val zone: String,
    val state: HostState,
)

/** Result of a request for the host list. */
sealed interface HostListResult {
    /** The list as known to the platform, which may lag behind the actual state of the hosts. */
    data class Listed(
        val hosts: List<HostEntry>,
    ) : HostListResult

    /** The list could not be fetched, or the response was invalid. */
    data class ListFailed(
        val reason: String,
    ) : HostListResult
}

/** A client of the platform's list of live and leaving hosts. */
fun interface HostListClient {
    /** Fetches the current list. */
    suspend fun hosts(): HostListResult
}
