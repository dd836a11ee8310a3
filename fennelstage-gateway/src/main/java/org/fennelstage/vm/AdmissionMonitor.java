package org.fennelstage.vm;

import java.util.Objects;
import org.fennelstage.admission.Admission;
import org.fennelstage.admission.AdmissionChange;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.gateway.GatewayMetrics;
import org.fennelstage.id.TeamId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.permit.PermitDecision;
import org.fennelstage.permit.PermitLedger;

/**
 * Logs and counts how this VM shares the permits of saturated backend servers.
 *
 * <p>Invariant: at most one line for each change of a priority and team at a backend server. Not
 * thread-safe; confined to the event loop.
 */
final class AdmissionMonitor {

    /** Rates in the log are rounded to tenths of a request per second. */
    private static final double LOG_PRECISION = 10;

    private final PermitLedger ledger;
    private final GatewayMetrics metrics;

    AdmissionMonitor(final PermitLedger ledger, final GatewayMetrics metrics) {
        this.ledger = Objects.requireNonNull(ledger, "ledger is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    }

    /** Counts a decision that followed from shares. */
    void onDecision(final PermitDecision decision) {
        decision.admission().ifPresent(a -> metrics.admission(a.traffic(), result(decision, a)));
    }

    private static String result(final PermitDecision decision, final Admission admission) {
        if (decision.issued()) {
            return admission.standing() == Admission.Standing.OVER_SHARE ? "lent" : "granted";
        }
        return decision.requests() < decision.limit() ? "over_share" : "saturated";
    }

    /** Logs which priorities and teams began or ceased to be limited; to be called regularly. */
    void logChanges() {
        ledger.admissionChanges()
                .forEach((server, changes) -> changes.forEach(c -> log(server, c)));
    }

    private static void log(final Incarnation server, final AdmissionChange change) {
        EventLog.write(
                Event.ADMISSION_LIMITED,
                "server",
                server,
                "priority",
                change.traffic().priority(),
                "team",
                change.traffic().team().map(TeamId::value).orElse("-"),
                "limited",
                change.limited(),
                "denied",
                change.denied(),
                "requests_per_s",
                rounded(change.perSecond()),
                "share_per_s",
                rounded(Math.min(change.sharePerSecond(), change.perSecond())),
                "capacity_per_s",
                rounded(change.capacityPerSecond()));
    }

    private static double rounded(final double perSecond) {
        return Math.round(perSecond * LOG_PRECISION) / LOG_PRECISION;
    }
}
