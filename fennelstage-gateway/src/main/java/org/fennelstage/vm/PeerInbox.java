package org.fennelstage.vm;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.gateway.Beliefs;
import org.fennelstage.gateway.CrashWatch;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/** Hands what other VMs tell to whom it concerns. Confined to the event loop. */
final class PeerInbox {

    private final Beliefs beliefs;
    private final CrashWatch crashes;
    private final LoadCollection loads;
    private final RolloutAges rolloutAges;

    PeerInbox(
            final Beliefs beliefs,
            final CrashWatch crashes,
            final LoadCollection loads,
            final RolloutAges rolloutAges) {
        this.beliefs = Objects.requireNonNull(beliefs, "beliefs is null");
        this.crashes = Objects.requireNonNull(crashes, "crashes is null");
        this.loads = Objects.requireNonNull(loads, "loads is null");
        this.rolloutAges = Objects.requireNonNull(rolloutAges, "rolloutAges is null");
    }

    /**
     * Takes a message.
     *
     * @param message what another VM tells
     * @param draw spreads what VMs do about it, in [0, 1)
     */
    void take(final PeerMessage message, final double draw) {
        if (message instanceof PeerMessage.Unreachable unreachable) {
            onReported(unreachable.server(), draw);
        } else if (message instanceof PeerMessage.Loads told) {
            loads.onLoads(told);
        } else if (message instanceof PeerMessage.LoadSums sums) {
            loads.onSums(sums);
        } else if (message instanceof PeerMessage.Rollout rollout) {
            rolloutAges.onAge(rollout.age());
        } else if (message instanceof PeerMessage.Leaving leaving) {
            onSaidToLeave(leaving.server());
        } else if (message instanceof PeerMessage.Crash crash) {
            crashes.onReport(crash.report());
        } else if (message instanceof PeerMessage.Answered answered) {
            crashes.onAcquittal(answered.acquittal());
        }
    }

    private void onSaidToLeave(final Incarnation server) {
        if (beliefs.servers().onDraining(server)) {
            EventLog.write(Event.SERVER_DRAINING, "server", server, "source", "another VM");
        }
    }

    private void onReported(final Incarnation about, final double draw) {
        // What was said of a former life says nothing of the worker that started again.
        final Optional<TrackedServer> server =
                beliefs.servers()
                        .find(about.server())
                        .filter(s -> s.entry().incarnation().equals(about));
        if (server.isPresent()) {
            final boolean believed = server.get().health().onPeerReport(draw);
            EventLog.write(Event.SERVER_REPORTED_UNREACHABLE, "server", about, "believed", believed);
        }
    }
}
