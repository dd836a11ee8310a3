package org.fennelstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UnreachableReportsTest {

    private static final int SERVERS = 6;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ServerTable servers = ServerTable.of(now::get);
    private final List<Incarnation> reported = new ArrayList<>();
    private final UnreachableReports reports =
            new UnreachableReports(servers, now::get, reported::add);

    @BeforeEach
    void registerServers() {
        for (int i = 0; i < SERVERS; i++) {
            servers.put(
                    new ServerEntry(
                            server(i),
                            ServiceName.of("models"),
                            new ServerAddress("127.0.0.1", 9000 + i),
                            DataCentreId.of("dc-" + i % 3),
                            "v1",
                            8,
                            false,
                            Position.of(0, 1)));
        }
    }

    private static Incarnation server(final int number) {
        return Incarnation.of(BackendServerId.of("i-" + number));
    }

    private void becomeUnreachable(final int number) {
        servers.find(server(number).server()).orElseThrow().health().onUnreachable();
        reports.onUnreachable(server(number));
    }

    private void pass(final long millis) {
        now.addAndGet(millis);
        reports.sendDue();
    }

    @Test
    void aServerThatStaysUnreachableIsReportedOnce() {
        becomeUnreachable(0);
        pass(UnreachableReports.DELAY_MILLIS - 1);
        assertThat(reported).isEmpty();
        pass(1);
        pass(1_000);
        assertThat(reported).containsExactly(server(0));
    }

    /** Guards against a VM without links that takes servers out of use at all others. */
    @Test
    void nothingIsReportedIfMostServersAreUnreachable() {
        for (int i = 0; i < SERVERS; i++) {
            becomeUnreachable(i);
            pass(40);
        }
        pass(UnreachableReports.DELAY_MILLIS);
        assertThat(reported).isEmpty();
    }

    @Test
    void aServerThatHasRespondedMeanwhileIsNotReported() {
        becomeUnreachable(0);
        servers.find(server(0).server()).orElseThrow().health().onBytesReceived();
        pass(UnreachableReports.DELAY_MILLIS);
        assertThat(reported).isEmpty();
    }
}
