package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.gateway.GatewayMetrics;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VmId;
import org.fennelstage.permit.PermitId;
import org.fennelstage.permit.PermitLedger;
import org.fennelstage.permit.PermitTerms;
import org.junit.jupiter.api.Test;

class AdmissionMonitorTest {

    private static final Incarnation SERVER = Incarnation.of(BackendServerId.of("i-1"));

    private final AtomicLong now = new AtomicLong(1_000);
    private final PermitLedger ledger = PermitLedger.emptyWithFairShares(now::get);
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final AdmissionMonitor monitor = new AdmissionMonitor(ledger, metrics);

    private void request(final long number, final String team) {
        final PermitTerms terms =
                new PermitTerms(6, Duration.ofMillis(200), Duration.ofMillis(100))
                        .of(TrafficClass.of(2, Optional.of(TeamId.of(team))));
        monitor.onDecision(ledger.issue(SERVER, new PermitId(VmId.of("vm-1"), number), terms));
    }

    /** Guards against denials of a team that neither the metrics nor the log show. */
    @Test
    void aLimitedTeamIsCountedAndReportedOnce() {
        request(0, "small");
        now.addAndGet(50);
        final PermitId first = new PermitId(VmId.of("vm-1"), 0);
        ledger.onReturned(SERVER, first, Optional.of(Duration.ofMillis(50)));
        for (int i = 1; i <= 4_000; i++) {
            now.incrementAndGet();
            request(i, i % 50 == 0 ? "small" : "large");
        }
        final String text = new String(metrics.scrape(), StandardCharsets.UTF_8);
        assertThat(text)
                .contains("priority=\"2\",result=\"over_share\",team=\"large\"")
                .doesNotContain("result=\"over_share\",team=\"small\"");
        assertThat(ledger.admissionChanges().get(SERVER)).hasSize(1);
        monitor.logChanges();
        assertThat(ledger.admissionChanges()).isEmpty();
    }
}
