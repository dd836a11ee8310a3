package org.fennelstage.speed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

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
import org.fennelstage.fleet.Pace;
import org.fennelstage.fleet.Reachability;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** VMs that each send a request to a backend server now and then and report the pace of it. */
class ServerSpeedsTest {

    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final SampleKind KIND = SampleKind.ofStream(SERVICE, Optional.empty());
    private static final int SERVERS = 8;

    /** Two samples a second of each server over all VMs. */
    private static final long SAMPLE_PERIOD_MILLIS = 500 / SERVERS;

    private static final long REPORT_PERIOD_MILLIS = 500;

    /** As long as a prompt of usual length delays the events of a stream. */
    private static final double SPREAD = 0.15;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<Vm> vms = new ArrayList<>();
    private final double[] slowness = new double[SERVERS];
    private final List<ServerSpeeds.Change> changes = new ArrayList<>();
    private Random random = new Random(3);
    private boolean reportsLost;
    private int samples;

    private final class Vm {

        private final LoadBoard board = LoadBoard.of(now::get, () -> 1);
        private final ServerSpeeds speeds = ServerSpeeds.of(board, now::get);
        private final List<TrackedServer> servers = new ArrayList<>();
        private double ownFactor = 1;

        private Vm(final int count) {
            for (int i = 0; i < count; i++) {
                servers.add(server(i, 7));
            }
        }

        private void serve(final int server) {
            final double noise = Math.exp(SPREAD * random.nextGaussian());
            speeds.onSample(
                    servers.get(server), KIND, 20 * ownFactor * slowness[server] * noise, 1);
        }

        private Map<BackendServerId, Load> report() {
            final Map<BackendServerId, Load> loads = new HashMap<>();
            servers.forEach(s -> loads.put(s.entry().id(), Load.NONE.withPace(s.pace().rounded())));
            return loads;
        }
    }

    private TrackedServer server(final int number, final long startMillis) {
        final ServerEntry entry =
                new ServerEntry(
                        new Incarnation(BackendServerId.of("s-" + number), startMillis),
                        SERVICE,
                        new ServerAddress("127.0.0.1", 9_000 + number),
                        DataCentreId.of("dc"),
                        "v1",
                        12,
                        false,
                        Position.of(0, 1));
        return TrackedServer.of(entry, now::get, Reachability.of(now::get));
    }

    private void start(final int vmCount, final int servers) {
        for (int i = 0; i < SERVERS; i++) {
            slowness[i] = 1;
        }
        for (int i = 0; i < vmCount; i++) {
            vms.add(new Vm(servers));
        }
    }

    /** Lets the VMs send requests in turn over the servers, and exchange reports. */
    private void run(final long millis) {
        final long end = now.get() + millis;
        while (now.get() < end) {
            now.addAndGet(SAMPLE_PERIOD_MILLIS);
            vms.get(random.nextInt(vms.size())).serve(samples++ % vms.get(0).servers.size());
            if (now.get() % REPORT_PERIOD_MILLIS < SAMPLE_PERIOD_MILLIS && !reportsLost) {
                vms.forEach(this::deliver);
            }
            vms.forEach(vm -> changes.addAll(vm.speeds.update(vm.servers)));
        }
    }

    private void deliver(final Vm sender) {
        final VmId id = VmId.of("vm-" + vms.indexOf(sender));
        final Map<BackendServerId, Load> report = sender.report();
        vms.stream().filter(vm -> vm != sender).forEach(vm -> vm.board.onReport(id, report));
    }

    private double slownessOf(final int server) {
        return vms.get(0).servers.get(server).slowness();
    }

    private double shareOfVmsThatKnow(final int slow) {
        final long knowing =
                vms.stream().filter(vm -> vm.servers.get(slow).slowness() > 1.15).count();
        return knowing / (double) vms.size();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aServerThatBecomesSlowIsDetectedWithinThreeSecondsAndAReport(final long seed) {
        random = new Random(seed);
        start(27, SERVERS);
        run(15_000);
        slowness[2] = 2.5;
        run(3_000 + REPORT_PERIOD_MILLIS);
        assertThat(shareOfVmsThatKnow(2)).isGreaterThan(0.9);
        run(8_000);
        assertThat(slownessOf(2)).isBetween(1.7, 2.6);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aServerThatRecoversCountsAsUsualAfterFiveSeconds(final long seed) {
        random = new Random(seed);
        start(27, SERVERS);
        slowness[2] = 2.2;
        run(15_000);
        assertThat(slownessOf(2)).isGreaterThan(1.5);
        slowness[2] = 1;
        run(5_000 + REPORT_PERIOD_MILLIS);
        assertThat(slownessOf(2)).isLessThan(1.2);
    }

    /** Guards against equal servers that are treated differently because of chance. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void equalServersCountAsUsualNearlyAlways(final long seed) {
        random = new Random(seed);
        start(27, SERVERS);
        int others = 0;
        for (int second = 0; second < 60; second++) {
            run(1_000);
            for (int i = 0; i < SERVERS; i++) {
                others += slownessOf(i) == 1 ? 0 : 1;
            }
        }
        assertThat(others / (60.0 * SERVERS)).isLessThanOrEqualTo(0.01);
    }

    @Test
    void nothingChangesIfAllServersAreSlowAlike() {
        start(27, SERVERS);
        run(10_000);
        changes.clear();
        for (int i = 0; i < SERVERS; i++) {
            slowness[i] = 2.5;
        }
        run(10_000);
        assertThat(changes).allSatisfy(c -> assertThat(c.server().slowness()).isBetween(0.7, 1.4));
        assertThat(slownessOf(0)).isEqualTo(1);
    }

    @Test
    void theOnlyServerOfAServiceCountsAsUsual() {
        start(9, 1);
        run(5_000);
        slowness[0] = 3;
        run(5_000);
        assertThat(slownessOf(0)).isEqualTo(1);
    }

    /** Guards against a VM without processor time that makes the servers slow for all. */
    @Test
    void aSlowVmDoesNotMakeServersSlow() {
        start(27, SERVERS);
        vms.get(5).ownFactor = 6;
        run(10_000);
        vms.get(6).ownFactor = 6;
        run(3_000);
        for (int i = 0; i < SERVERS; i++) {
            assertThat(slownessOf(i)).isLessThan(1.35);
        }
    }

    /** Guards against a VM that forgets everything with one lost report, or never. */
    @Test
    void reportedPacesDecayWhileReportsAreLost() {
        start(27, SERVERS);
        slowness[2] = 2.2;
        run(15_000);
        reportsLost = true;
        run(2_000);
        assertThat(slownessOf(2)).isGreaterThan(1.15);
        run(20_000);
        assertThat(slownessOf(2)).isLessThan(1.4);
    }

    /** Guards against a restarted server that counts as slow for what its predecessor was. */
    @Test
    void aRestartedServerCountsAsUsual() {
        start(2, SERVERS);
        final Vm vm = vms.get(0);
        for (int i = 0; i < SERVERS; i++) {
            final double log = i == 2 ? 8 : 0;
            final Load load = Load.NONE.withPace(new Pace(7, 10, log));
            vm.board.onReport(VmId.of("v-" + i), Map.of(BackendServerId.of("s-" + i), load));
        }
        vm.speeds.update(vm.servers);
        assertThat(slownessOf(2)).isEqualTo(1);
        now.addAndGet(ServerSpeeds.UPDATE_MILLIS);
        vm.speeds.update(vm.servers);
        final double decay = Math.pow(0.5, 0.25);
        final double expected = Math.exp(8 * decay / (10 * decay + 2));
        assertThat(slownessOf(2)).isCloseTo(expected, within(1e-9));
        vm.servers.set(2, server(2, 8));
        now.addAndGet(ServerSpeeds.UPDATE_MILLIS);
        vm.speeds.update(vm.servers);
        assertThat(slownessOf(2)).isEqualTo(1);
    }

    @Test
    void changesAreReturnedOnceAndAFewAtATime() {
        start(1, SERVERS);
        final Vm vm = vms.get(0);
        final List<TrackedServer> many = new ArrayList<>();
        final Map<BackendServerId, Load> reports = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            many.add(server(i, 7));
            final Pace pace = new Pace(7, 10, i < 20 ? 8 : 0);
            reports.put(BackendServerId.of("s-" + i), Load.NONE.withPace(pace));
        }
        final List<Integer> counts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            vm.board.onReport(VmId.of("v"), reports);
            counts.add(vm.speeds.update(many).size());
            now.addAndGet(ServerSpeeds.UPDATE_MILLIS);
        }
        assertThat(counts).containsExactly(0, 10, 10, 0);
    }
}
