package org.fennelstage.vm;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.fleet.Departure;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.RateLimit;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.gateway.CrashDetector;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/** Dispatches the messages of other VMs. Not thread-safe; confined to the event loop. */
final class PeerMessageDispatcher {

    /** Source of a fact in the log that another VM reported. */
    private static final String ANOTHER_VM = "another VM";

    private final GatewayState state;
    private final CrashDetector crashes;
    private final LoadCollection loads;
    private final RolloutAges rolloutAges;
    private final RolloutEvidenceReports rolloutEvidence;
    private final LimitReports limitReports;
    private final PermitExchange permits;
    private final ChangeReports changeReports;

    PeerMessageDispatcher(
            final GatewayState state,
            final CrashDetector crashes,
            final LoadCollection loads,
            final RolloutAges rolloutAges,
            final RolloutEvidenceReports rolloutEvidence,
            final LimitReports limitReports,
            final PermitExchange permits,
            final ChangeReports changeReports) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.crashes = Objects.requireNonNull(crashes, "crashes is null");
        this.loads = Objects.requireNonNull(loads, "loads is null");
        this.rolloutAges = Objects.requireNonNull(rolloutAges, "rolloutAges is null");
        this.rolloutEvidence = Objects.requireNonNull(rolloutEvidence, "rolloutEvidence is null");
        this.limitReports = Objects.requireNonNull(limitReports, "limitReports is null");
        this.permits = Objects.requireNonNull(permits, "permits is null");
        this.changeReports = Objects.requireNonNull(changeReports, "changeReports is null");
    }

    /**
     * Handles a message.
     *
     * @param message the message of another VM
     * @param draw a random number in [0, 1) that varies the reaction between VMs
     */
    void onMessage(final PeerMessage message, final double draw) {
        if (message instanceof PeerMessage.Unreachable unreachable) {
            onUnreachable(unreachable.server(), draw);
        } else if (message instanceof PermitMessage permit) {
            permits.onMessage(permit);
        } else if (message instanceof PeerMessage.Loads reported) {
            loads.onLoads(reported);
        } else if (message instanceof PeerMessage.LoadSums sums) {
            loads.onSums(sums);
        } else if (message instanceof PeerMessage.Rollout rollout) {
            rolloutAges.onAge(rollout.age());
        } else if (message instanceof EvidenceMessage evidence) {
            rolloutEvidence.onEvidence(evidence.evidence());
        } else if (message instanceof PeerMessage.Draining draining) {
            onDraining(draining.server());
        } else if (message instanceof PeerMessage.Departed departed) {
            onDeparted(departed.departure());
        } else if (message instanceof PeerMessage.Changed changed) {
            changeReports.onReported(changed);
        } else if (message instanceof PeerMessage.Limit limit) {
            onLimit(limit);
        } else if (message instanceof PeerMessage.Crash crash) {
            crashes.onReport(crash.report());
        } else if (message instanceof PeerMessage.CrashesCleared cleared) {
            crashes.onClearedCrashes(cleared.crashes());
        }
    }

    private void onDraining(final Incarnation server) {
        if (state.servers().onDraining(server)) {
            EventLog.write(Event.SERVER_DRAINING, "server", server, "source", ANOTHER_VM);
        }
    }

    private void onDeparted(final Departure departure) {
        if (state.servers().onDeparture(departure)) {
            EventLog.write(
                    Event.SERVER_DEPARTED,
                    "server",
                    departure.server(),
                    "removed",
                    departure.removed(),
                    "revision",
                    departure.position());
        }
    }

    private void onLimit(final PeerMessage.Limit message) {
        limitReports.onReported(message.server(), message.limit());
        final Optional<TrackedServer> server = find(message.server());
        if (server.isEmpty()) {
            return;
        }
        if (message.limit().isPresent()) {
            onLimit(server.get(), message.limit().get());
        } else if (server.get().onLimitEnded()) {
            EventLog.write(
                    Event.SERVER_LIMIT_ENDED, "server", message.server(), "source", ANOTHER_VM);
        }
    }

    private static void onLimit(final TrackedServer server, final RateLimit limit) {
        if (server.onLimit(limit)) {
            EventLog.write(
                    Event.SERVER_LIMITED,
                    "server",
                    server.entry().incarnation(),
                    "requests_per_s",
                    limit.requestsPerSecond(),
                    "source",
                    ANOTHER_VM);
        }
    }

    /** Finds a backend server, unless it has restarted since the message about it. */
    private Optional<TrackedServer> find(final Incarnation incarnation) {
        return state.servers()
                .find(incarnation.server())
                .filter(s -> s.entry().incarnation().equals(incarnation));
    }

    private void onUnreachable(final Incarnation incarnation, final double draw) {
        final Optional<TrackedServer> server = find(incarnation);
        if (server.isPresent()) {
            final boolean applied = server.get().health().onPeerReport(draw);
            EventLog.write(
                    Event.SERVER_REPORTED_UNREACHABLE, "server", incarnation, "believed", applied);
        }
    }
}
