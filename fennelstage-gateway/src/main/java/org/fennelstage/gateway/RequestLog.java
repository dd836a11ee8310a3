package org.fennelstage.gateway;

import java.time.Duration;
import java.util.OptionalInt;
import org.fennelstage.attempt.AttemptEnd;
import org.fennelstage.attempt.AttemptLog;
import org.fennelstage.canary.VersionChoice;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.fleet.Eligibility;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.TeamId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.serving.Route;

/**
 * The log lines of one request: each decision with what decided it. Stateless but for the request's
 * names; confined to the event loop.
 */
final class RequestLog {

    private static final String NONE = "-";

    private final CallerRequest request;
    private final Fingerprint content;
    private final String route;
    private final long objectiveMillis;
    private final long configurationVersion;
    private final AttemptLog attempts;
    private long firstByteMillis;

    RequestLog(
            final CallerRequest request,
            final Fingerprint content,
            final Route route,
            final long configurationVersion,
            final AttemptLog attempts) {
        this.request = request;
        this.content = content;
        this.route = route.name();
        this.objectiveMillis = route.objective().toMillis();
        this.configurationVersion = configurationVersion;
        this.attempts = attempts;
    }

    void sent(
            final TrackedServer server,
            final VersionChoice choice,
            final int candidates,
            final Dispatch dispatch,
            final long expectedMillis) {
        EventLog.write(
                Event.REQUEST_SENT,
                "request",
                request.id(),
                "content",
                content,
                "route",
                route,
                "service",
                server.entry().service(),
                "configuration",
                configurationVersion,
                "session",
                request.session().orElse(NONE),
                "team",
                dispatch.team().map(TeamId::value).orElse(NONE),
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
                dispatch.model().map(ModelId::value).orElse(NONE),
                "remaining_ms",
                dispatch.remaining().toMillis());
    }

    void hopeless(final long waitMillis, final long remainingMillis) {
        EventLog.write(
                Event.REQUEST_REJECTED,
                "request",
                request.id(),
                "route",
                route,
                "reason",
                Refusal.NO_ROOM.reason(),
                "status",
                Refusal.NO_ROOM.status(),
                "expected_ms",
                waitMillis,
                "remaining_ms",
                remainingMillis);
    }

    void noneEligible(final Eligibility.Reasons reasons) {
        EventLog.write(
                Event.REQUEST_REJECTED,
                "request",
                request.id(),
                "route",
                route,
                "reason",
                Refusal.NO_ELIGIBLE_SERVER.reason(),
                "status",
                Refusal.NO_ELIGIBLE_SERVER.status(),
                "evacuated",
                reasons.evacuated(),
                "cold",
                reasons.warmingUp(),
                "want_nothing",
                reasons.rejecting());
    }

    void quarantined(final Duration left) {
        EventLog.write(
                Event.REQUEST_REJECTED,
                "request",
                request.id(),
                "content",
                content,
                "route",
                route,
                "reason",
                Refusal.QUARANTINED.reason(),
                "status",
                Refusal.QUARANTINED.status(),
                "left_ms",
                left.toMillis());
    }

    void attemptFailed(final AttemptEnd end, final String detail, final long elapsedMillis) {
        EventLog.write(
                Event.ATTEMPT_FAILED,
                "request",
                request.id(),
                "content",
                content,
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

    void dropped(
            final String model,
            final OptionalInt confidence,
            final ModelId better,
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
                better,
                "elapsed_ms",
                elapsedMillis);
    }

    /** Notes when the caller got the first byte; zero if it got none. */
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
