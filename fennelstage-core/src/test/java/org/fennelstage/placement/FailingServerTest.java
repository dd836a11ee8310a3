package org.fennelstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Reachability;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Simulates a fleet that sends short requests to three backend servers, of which one fails all. */
class FailingServerTest {

    private static final int SERVERS = 3;
    private static final int REQUESTS_PER_SECOND = 165;

    /** Time in which the VMs may find out; not counted. */
    private static final long FIRST_MILLIS = 1_000;

    private static final long END_MILLIS = 7_500;
    private static final long REPORT_PERIOD_MILLIS = 500;
    private static final long REPORT_AGE_MILLIS = 250;

    /** Requests that all VMs together have at a backend server that does not fail. */
    private static final int RUNNING = 4;

    private final Random random = new Random(7);
    private final AtomicLong clock = new AtomicLong(1_000_000);

    private double shareOfFailingServer(final int vms) {
        final List<List<TrackedServer>> servers = new ArrayList<>();
        final List<Placement> placements = new ArrayList<>();
        final List<LoadBoard> boards = new ArrayList<>();
        for (int vm = 0; vm < vms; vm++) {
            final LoadBoard board = LoadBoard.of(clock::get, () -> 1);
            boards.add(board);
            servers.add(servers());
            placements.add(
                    Placement.of(DataCentreId.of("dc-" + vm % SERVERS), new Random(vm), board));
        }
        final long start = clock.get();
        long nextReport = start;
        int requests = 0;
        int failed = 0;
        while (clock.get() < start + END_MILLIS) {
            clock.addAndGet(1_000 / REQUESTS_PER_SECOND);
            if (clock.get() >= nextReport) {
                boards.forEach(FailingServerTest::report);
                nextReport += REPORT_PERIOD_MILLIS;
            }
            final int vm = random.nextInt(vms);
            final boolean fails = !serve(placements.get(vm), servers.get(vm));
            if (clock.get() >= start + FIRST_MILLIS) {
                requests++;
                failed += fails ? 1 : 0;
            }
        }
        return failed / (double) requests;
    }

    /** Reports the loads of the other VMs; a server that fails at once has none. */
    private static void report(final LoadBoard board) {
        final Map<BackendServerId, Load> loads = new HashMap<>();
        for (int i = 1; i < SERVERS; i++) {
            loads.put(BackendServerId.of("s-" + i), new Load(RUNNING, 0));
        }
        board.onReport(VmId.of("others"), 0, loads, REPORT_AGE_MILLIS);
    }

    private boolean serve(final Placement placement, final List<TrackedServer> servers) {
        final Job job = new Job(Optional.empty(), Optional.empty(), false, 0, 43);
        final TrackedServer server =
                placement.choose(servers, job, false, s -> false).orElseThrow();
        final boolean succeeds = server != servers.get(0);
        server.health().onBytesReceived();
        server.health().onEnd(!succeeds, 0);
        return succeeds;
    }

    private List<TrackedServer> servers() {
        final List<TrackedServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            final ServerEntry entry =
                    new ServerEntry(
                            Incarnation.of(BackendServerId.of("s-" + i)),
                            ServiceName.of("portal"),
                            new ServerAddress("127.0.0.1", 9000 + i),
                            DataCentreId.of("dc-" + i),
                            "v1",
                            6,
                            false,
                            Position.of(0, 1));
            servers.add(TrackedServer.of(entry, clock::get, Reachability.of(clock::get)));
        }
        return servers;
    }

    @Test
    void aSmallFleetSendsFewRequestsToAServerThatFailsAll() {
        assertThat(shareOfFailingServer(7)).isLessThan(0.1);
    }

    /** Guards against evidence that has decayed before a VM with few requests can use it. */
    @Test
    @Tag("known-red")
    void aLargeFleetSendsFewRequestsToAServerThatFailsAll() {
        assertThat(shareOfFailingServer(90)).isLessThan(0.1);
    }
}
