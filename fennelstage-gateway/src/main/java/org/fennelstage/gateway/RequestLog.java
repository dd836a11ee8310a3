package org.fennelstage.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import org.fennelstage.attempt.AttemptEnd;
import org.fennelstage.attempt.AttemptLog;
import org.fennelstage.canary.VersionChoice;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.fleet.Eligibility;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.TeamId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.permit.PermitDecision;
import org.fennelstage.serving.Route;

/**
 * Writes the log events of one request, each decision with its inputs.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class RequestLog {

    private static final String NONE = "-";

    private final CallerRequest request;
    private final RequestFingerprints fingerprints;
    private final String route;
    private final long objectiveMillis;
    private final int priority;
    private final long configurationVersion;
    private final AttemptLog attempts;
    private long firstByteMillis;

    RequestLog(
            final CallerRequest request,
            final RequestFingerprints fingerprints,
            final Route route,
            final int priority,
            final long configurationVersion,
            final AttemptLog attempts) {
        this.request = request;
        this.fingerprints = fingerprints;
        this.route = route.name();
        this.objectiveMillis = route.objective().toMillis();
        this.priority = priority;
        this.configurationVersion = configurationVersion;
        this.attempts = attempts;
    }

    void sent(
            final TrackedServer server,
            final VersionChoice choice,
            final int candidates,
            final AttemptMetadata metadata,
            final long expectedMillis) {
        EventLog.write(
                Event.REQUEST_SENT,
                "request",
                request.id(),
                "content",
                fingerprints.content(),
                "parts",
                parts(),
                "route",
                route,
                "service",
                server.entry().service(),
                "configuration",
                configurationVersion,
                "session",
                request.session().orElse(NONE),
                "team",
                metadata.team().map(TeamId::value).orElse(NONE),
                "priority",
                priority,
                "objective_ms",
                objectiveMillis,
                "server",
                server.entry().id(),
                "version",
                server.entry().version(),
                "chosen_by",
                choice.reason(),
                "meant_for_new",
                choice.toNew(),
                "entry_revision",
                server.entry().position(),
                "tier",
                server.health().tier(),
                "running",
                server.running(),
                "unread_ms",
                server.load().unreadMillis(),
                "warm_up_ms",
                server.warmUpLeft().toMillis(),
                "expected_ms",
                expectedMillis,
                "candidates",
                candidates,
                "model",
                metadata.model().map(ModelId::value).orElse(NONE),
                "remaining_ms",
                metadata.remaining().toMillis());
    }

    private String parts() {
        return fingerprints.parts().isEmpty()
                ? NONE
                : fingerprints.parts().stream()
                        .map(Fingerprint::toString)
                        .collect(Collectors.joining(","));
    }

    void waitTooLong(final long waitMillis, final long remainingMillis) {
        rejected(
                GatewayError.OVERLOADED,
                "expected_ms",
                waitMillis,
                "remaining_ms",
                remainingMillis);
    }

    void permit(final TrackedServer server, final Permit permit) {
        final Optional<PermitDecision> decision = permit.basis();
        EventLog.write(
                Event.PERMIT_REQUESTED,
                "request",
                request.id(),
                "priority",
                priority,
                "objective_ms",
                objectiveMillis,
                "server",
                server.entry().id(),
                "result",
                permit.name(),
                "requests",
                decision.map(PermitDecision::requests).orElse(-1),
                "limit",
                decision.map(PermitDecision::limit).orElse(-1),
                "slot_ms",
                decision.map(d -> d.slotTime().toMillis()).orElse(-1L));
    }

    void forwarded(
            final ServiceName service,
            final InetSocketAddress peer,
            final int failedConnections,
            final Duration remaining) {
        EventLog.write(
                Event.REQUEST_FORWARDED,
                "request",
                request.id(),
                "content",
                fingerprints.content(),
                "parts",
                parts(),
                "route",
                route,
                "service",
                service,
                "configuration",
                configurationVersion,
                "to",
                peer,
                "failed_connections",
                failedConnections,
                "sent",
                attempts.sent(),
                "remaining_ms",
                remaining.toMillis());
    }

    void notReached() {
        rejected(GatewayError.NO_ELIGIBLE_SERVER, "forwarded", true, "sent", attempts.sent());
    }

    void saturated(final Duration retryAfter) {
        rejected(
                GatewayError.OVERLOADED,
                "sent",
                attempts.sent(),
                "retry_after_ms",
                retryAfter.toMillis());
    }

    void noEligibleServer(final Eligibility.Reasons reasons) {
        rejected(
                GatewayError.NO_ELIGIBLE_SERVER,
                "evacuated",
                reasons.evacuated(),
                "cold",
                reasons.warmingUp(),
                "want_nothing",
                reasons.rejecting(),
                "limited",
                reasons.limited());
    }

    void quarantined(final Duration remaining) {
        EventLog.write(
                Event.REQUEST_REJECTED,
                "request",
                request.id(),
                "content",
                fingerprints.content(),
                "parts",
                parts(),
                "route",
                route,
                "reason",
                GatewayError.QUARANTINED.reason(),
                "status",
                GatewayError.QUARANTINED.status(),
                "left_ms",
                remaining.toMillis());
    }

    /** Writes a rejection with what it was based on, as names and values in turn. */
    private void rejected(final GatewayError error, final Object... inputs) {
        final List<Object> fields =
                new ArrayList<>(
                        List.of(
                                "request",
                                request.id(),
                                "route",
                                route,
                                "priority",
                                priority,
                                "objective_ms",
                                objectiveMillis,
                                "reason",
                                error.reason(),
                                "status",
                                error.status()));
        fields.addAll(List.of(inputs));
        EventLog.write(Event.REQUEST_REJECTED, fields.toArray());
    }

    void attemptFailed(final AttemptEnd end, final String detail, final long elapsedMillis) {
        EventLog.write(
                Event.ATTEMPT_FAILED,
                "request",
                request.id(),
                "content",
                fingerprints.content(),
                "end",
                end,
                "detail",
                detail,
                "sent",
                attempts.sent(),
                "may_have_run",
                attempts.mayHaveRun(),
                "elapsed_ms",
                elapsedMillis);
    }

    /** Logs that a request stays at a silent backend server. */
    void attemptKept(
            final Takeover.KeptBecause reason, final String detail, final long elapsedMillis) {
        EventLog.write(
                Event.ATTEMPT_KEPT,
                "request",
                request.id(),
                "reason",
                reason,
                "detail",
                detail,
                "sent",
                attempts.sent(),
                "elapsed_ms",
                elapsedMillis);
    }

    void responseDropped(
            final String model,
            final OptionalInt confidence,
            final ModelId next,
            final long elapsedMillis) {
        EventLog.write(
                Event.ANSWER_DROPPED,
                "request",
                request.id(),
                "model",
                model,
                "confidence",
                confidence.orElse(-1),
                "asked_next",
                next,
                "elapsed_ms",
                elapsedMillis);
    }

    /** Records the time until the first byte for the caller; stays zero if none was sent. */
    void firstByte(final long elapsedMillis) {
        firstByteMillis = elapsedMillis;
    }

    void finished(
            final String outcome,
            final int status,
            final String model,
            final OptionalInt confidence,
            final long elapsedMillis) {
        EventLog.write(
                Event.REQUEST_FINISHED,
                "request",
                request.id(),
                "route",
                route,
                "outcome",
                outcome,
                "status",
                status,
                "attempts",
                attempts.sent(),
                "may_have_run",
                attempts.mayHaveRun(),
                "model",
                model,
                "confidence",
                confidence.orElse(-1),
                "objective_ms",
                objectiveMillis,
                "first_byte_ms",
                firstByteMillis,
                "elapsed_ms",
                elapsedMillis);
    }
}
