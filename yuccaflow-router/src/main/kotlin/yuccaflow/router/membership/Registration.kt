package yuccaflow.router.membership

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.first
import org.tinylog.Logger
import yuccaflow.control.ControlRecord
import yuccaflow.control.RouterStage
import yuccaflow.control.ZoneName

/** Keeps this router registered: at the start, and under a new id whenever it reads that other routers have ended its lease. */
internal class Registration(
    private val context: MembershipContext,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val id = context.routerId
            context.appendUntil({ id in it.routers }) { record() }
            Logger.info("registered as {}", id)
            context.replica.state.first { state -> state.table.routers[id].let { it == null || it.stage == RouterStage.ENDED } }
            if (context.isStopping) awaitCancellation()
            Logger.warn("other routers have ended the lease of {}; registering under a new id", id)
            context.lease.startNewIncarnation()
        }
    }

    private fun record(): ControlRecord.RouterRegistered {
        val settings = context.settings
        return ControlRecord.RouterRegistered(
            router = context.routerId,
            zone = ZoneName(settings.zone),
            host = settings.host,
            peerAddress = settings.peerAdvertise.toString(),
            adminAddress = settings.adminListen.toString(),
            callerAddress = settings.callerListen.toString(),
            witnesses = desiredWitnesses(context.table, context.routerId, ZoneName(settings.zone)),
        )
    }
}
