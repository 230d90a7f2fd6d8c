package yuccaflow.router.membership

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.first
import org.tinylog.Logger
import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterStage
import yuccaflow.control.ZoneName

/** Keeps this router registered: at the start, and under a new id whenever it reads that its lease was ended by others. */
internal class Registration(
    private val parts: MembershipContext,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val id = parts.routerId
            parts.appendUntil({ id in it.routers }) { record() }
            Logger.info("registered as {}", id)
            parts.replica.state.first { state -> state.table.routers[id].let { it == null || it.stage == RouterStage.ENDED } }
            if (parts.isStopping) awaitCancellation()
            Logger.warn("the lease of {} was ended by others", id)
            parts.lease.renew()
        }
    }

    private fun record(): ControlRecord.RouterRegistered {
        val settings = parts.settings
        return ControlRecord.RouterRegistered(
            router = parts.routerId,
            zone = ZoneName(settings.zone),
            host = settings.host,
            peerAddress = settings.peerAdvertise.toString(),
            adminAddress = settings.adminListen.toString(),
            callerAddress = settings.callerListen.toString(),
            witnesses = desiredWitnesses(parts.table, parts.routerId, ZoneName(settings.zone)),
        )
    }
}
