package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.RateLimit;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class LimitReportsTest {

    private static final Incarnation SERVER = new Incarnation(BackendServerId.of("i-7"), 12);
    private static final Optional<RateLimit> LIMIT = RateLimit.of(3.1);

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<PeerMessage> sent = new ArrayList<>();
    private final LimitReports reports =
            new LimitReports(
                    () -> List.of(InetSocketAddress.createUnresolved("vm-2", 1)),
                    (message, to) -> sent.add(message),
                    now::get);

    /** Guards against a datagram to every VM for each response of a limited server. */
    @Test
    void aLimitThatContinuesIsReportedAtMostOnceInAnInterval() {
        reports.onLimit(SERVER, LIMIT);
        reports.onLimit(SERVER, LIMIT);
        assertThat(sent).containsExactly(new PeerMessage.Limit(SERVER, LIMIT));
        now.addAndGet(LimitReports.MIN_INTERVAL_MILLIS);
        reports.onLimit(SERVER, LIMIT);
        assertThat(sent).hasSize(2);
    }

    @Test
    void theEndOfALimitAndItsReturnAreReportedAtOnce() {
        reports.onLimit(SERVER, LIMIT);
        reports.onLimit(SERVER, Optional.empty());
        reports.onLimit(SERVER, LIMIT);
        assertThat(sent)
                .containsExactly(
                        new PeerMessage.Limit(SERVER, LIMIT),
                        new PeerMessage.Limit(SERVER, Optional.empty()),
                        new PeerMessage.Limit(SERVER, LIMIT));
    }

    /** Guards against messages that grow with the square of the number of VMs. */
    @Test
    void aLimitThatAnotherVmHasJustReportedIsNotReportedAgain() {
        reports.onReported(SERVER, LIMIT);
        reports.onLimit(SERVER, LIMIT);
        assertThat(sent).isEmpty();
        now.addAndGet(LimitReports.MIN_INTERVAL_MILLIS);
        reports.onLimit(SERVER, LIMIT);
        assertThat(sent).hasSize(1);
    }
}
