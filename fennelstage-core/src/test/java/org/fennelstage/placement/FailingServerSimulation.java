package org.fennelstage.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Outcomes;
import org.fennelstage.fleet.OutlierDetection;
import org.fennelstage.fleet.Reachability;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;

/** Simulates a fleet that sends short requests to backend servers which fail at given rates. */
final class FailingServerSimulation {

    private static final int DATA_CENTRES = 3;

    /** Time between two requests of the fleet. */
    private static final long INTERVAL_MILLIS = 6;

    private static final long REPORT_PERIOD_MILLIS = 500;
    private static final long REPORT_AGE_MILLIS = 250;
    private static final long COMPARISON_PERIOD_MILLIS = 100;
    private static final int FULL_EXCHANGE_VMS = 16;

    private final Random random = new Random(7);
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final List<Vm> vms = new ArrayList<>();
    private final double[] failureRates;
    private long nextReport = clock.get();
    private long nextCollection = clock.get() + REPORT_PERIOD_MILLIS - REPORT_AGE_MILLIS;
    private long nextComparison = clock.get();
    private long endMillis = clock.get();
    private double usualFailureRate;

    /** Requests that all VMs together have at a backend server that does not fail. */
    private int running = 4;

    private int responseMillis = 43;

    FailingServerSimulation(final int vms, final int servers) {
        failureRates = new double[servers];
        for (int i = 0; i < vms; i++) {
            this.vms.add(new Vm(i, servers));
        }
    }

    private final class Vm {

        private final LoadBoard board = LoadBoard.of(clock::get, () -> 1);
        private final List<TrackedServer> servers = new ArrayList<>();
        private final Placement placement;
        private final OutlierDetection outliers;
        private final int number;

        /** The outcomes that are in the next reports to the other VMs. */
        private List<Outcomes> reported = List.of();

        private Vm(final int number, final int servers) {
            this.number = number;
            final Random draws = new Random(number);
            outliers = OutlierDetection.of(board, draws::nextDouble);
            placement =
                    Placement.of(
                            DataCentreId.of("dc-" + number % DATA_CENTRES),
                            new Random(number),
                            board);
            for (int i = 0; i < servers; i++) {
                this.servers.add(
                        TrackedServer.of(entry(i), clock::get, Reachability.of(clock::get)));
            }
        }

        private int serve() {
            final Job job = new Job(Optional.empty(), Optional.empty(), false, 0, responseMillis);
            final TrackedServer server =
                    placement.choose(servers, job, false, s -> false).orElseThrow();
            final int chosen = servers.indexOf(server);
            server.health().onBytesReceived();
            server.health().onEnd(fails(failureRates[chosen]), usualFailureRate);
            return chosen;
        }
    }

    /** Sets the rate at which a backend server fails from now on. */
    FailingServerSimulation failing(final int server, final double rate) {
        failureRates[server] = rate;
        return this;
    }

    /** Lets the requests fail at all backend servers, at a rate that the VMs know. */
    FailingServerSimulation usualFailureRate(final double rate) {
        usualFailureRate = rate;
        Arrays.fill(failureRates, rate);
        return this;
    }

    /** Sets the load of the backend servers that do not fail, and how long a response takes. */
    FailingServerSimulation busy(final int requests, final int millis) {
        running = requests;
        responseMillis = millis;
        return this;
    }

    /** Runs for a time and returns the share of the requests that each backend server got. */
    List<Double> run(final long millis) {
        final double[] counts = new double[failureRates.length];
        endMillis += millis;
        while (clock.get() + INTERVAL_MILLIS <= endMillis) {
            clock.addAndGet(INTERVAL_MILLIS);
            exchange();
            counts[vms.get(random.nextInt(vms.size())).serve()]++;
        }
        final double all = Arrays.stream(counts).sum();
        return Arrays.stream(counts).map(count -> count / all).boxed().toList();
    }

    private void exchange() {
        if (clock.get() >= nextCollection) {
            vms.forEach(
                    vm ->
                            vm.reported =
                                    vm.servers.stream().map(s -> s.report().outcomes()).toList());
            nextCollection += REPORT_PERIOD_MILLIS;
        }
        if (clock.get() >= nextComparison) {
            vms.forEach(vm -> vm.outliers.update(vm.servers));
            nextComparison += COMPARISON_PERIOD_MILLIS;
        }
        if (clock.get() >= nextReport) {
            vms.forEach(this::report);
            nextReport += REPORT_PERIOD_MILLIS;
        }
    }

    /**
     * Reports the loads of the other VMs, of which a server that fails at once has none, and the
     * outcomes of those that exchange loads with a VM.
     */
    private void report(final Vm vm) {
        final Map<BackendServerId, Load> loads = new HashMap<>();
        for (int i = 0; i < failureRates.length; i++) {
            final int requests = failureRates[i] < 1 ? running : 0;
            loads.put(id(i), new Load(requests, 0, othersOutcomes(vm, i)));
        }
        vm.board.onReport(VmId.of("others"), 0, loads, REPORT_AGE_MILLIS);
    }

    private Outcomes othersOutcomes(final Vm vm, final int server) {
        return vms.stream()
                .filter(other -> other != vm && !other.reported.isEmpty())
                .filter(other -> exchangeLoads(vm, other))
                .map(other -> other.reported.get(server))
                .reduce(Outcomes.NONE, Outcomes::plus);
    }

    private boolean exchangeLoads(final Vm vm, final Vm other) {
        return vms.size() <= FULL_EXCHANGE_VMS
                || vm.number % DATA_CENTRES == other.number % DATA_CENTRES;
    }

    private boolean fails(final double rate) {
        return rate == 1 || (rate > 0 && random.nextDouble() < rate);
    }

    private static BackendServerId id(final int server) {
        return BackendServerId.of("s-" + server);
    }

    private static ServerEntry entry(final int server) {
        return new ServerEntry(
                Incarnation.of(id(server)),
                ServiceName.of("portal"),
                new ServerAddress("127.0.0.1", 9000 + server),
                DataCentreId.of("dc-" + server),
                "v1",
                6,
                false,
                Position.of(0, 1));
    }
}
