package org.fennelstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
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
import org.junit.jupiter.api.Test;

/**
 * Simulates a fleet that sends short requests to a few backend servers, where each VM knows the
 * load of the others only from reports that are older than a request takes.
 *
 * <p>Guards against VMs that all choose the server that had the least load a moment ago.
 */
class DelayedLoadsTest {

    private static final int VMS = 90;
    private static final int CAPACITY = 6;
    private static final int QUEUE = 24;
    private static final long REPORT_PERIOD_MILLIS = 750;
    private static final double SERVICE_MILLIS = 43;
    private static final double SERVICE_SPREAD = 0.55;
    private static final double OBJECTIVE_MILLIS = 200;
    private static final long DAY_MILLIS = 30_000;

    private record Event(double atMillis, Runnable action) {}

    /** A request in the queue of a backend server. */
    private record Waiting(int vm, double sentMillis) {}

    private final Random random = new Random(11);
    private final AtomicLong clock = new AtomicLong();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> Double.compare(a.atMillis(), b.atMillis()));
    private final List<List<TrackedServer>> views = new ArrayList<>();
    private final List<LoadBoard> boards = new ArrayList<>();
    private final List<Placement> placements = new ArrayList<>();
    private final List<Deque<Waiting>> queues = new ArrayList<>();
    private double[] speeds;
    private int[] running;
    private int sent;
    private int inTime;
    private double now;

    private double shareInTime(final double requestsPerSecond, final double... serverSpeeds) {
        speeds = serverSpeeds;
        running = new int[serverSpeeds.length];
        for (int i = 0; i < serverSpeeds.length; i++) {
            queues.add(new ArrayDeque<>());
        }
        for (int vm = 0; vm < VMS; vm++) {
            addVm(vm, serverSpeeds.length);
        }
        at(0, () -> report());
        at(0, () -> arrive(1_000 / requestsPerSecond));
        while (!events.isEmpty()) {
            final Event next = events.poll();
            now = next.atMillis();
            clock.set((long) now);
            next.action().run();
        }
        return inTime / (double) sent;
    }

    private void addVm(final int vm, final int servers) {
        final List<TrackedServer> own = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            own.add(server(i));
        }
        views.add(own);
        final LoadBoard board = LoadBoard.of(clock::get, () -> 1);
        boards.add(board);
        placements.add(Placement.of(dataCentre(vm), new Random(vm), board));
    }

    private TrackedServer server(final int number) {
        final ServerEntry entry =
                new ServerEntry(
                        Incarnation.of(BackendServerId.of("s-" + number)),
                        ServiceName.of("portal"),
                        new ServerAddress("127.0.0.1", 9000 + number),
                        dataCentre(number),
                        "v1",
                        CAPACITY,
                        false,
                        Position.of(0, 1));
        return TrackedServer.of(entry, clock::get, Reachability.of(clock::get));
    }

    private static DataCentreId dataCentre(final int number) {
        return DataCentreId.of("dc-" + number % 3);
    }

    private void at(final double millis, final Runnable action) {
        events.add(new Event(millis, action));
    }

    /** Informs every VM of what all others have at the servers now. */
    private void report() {
        for (int vm = 0; vm < VMS; vm++) {
            final Map<BackendServerId, Load> others = new HashMap<>();
            for (int i = 0; i < speeds.length; i++) {
                final int all = running[i] + queues.get(i).size();
                final TrackedServer own = views.get(vm).get(i);
                others.put(own.entry().id(), new Load(all - own.running(), 0));
            }
            boards.get(vm).onReport(VmId.of("others"), others);
        }
        if (now < DAY_MILLIS) {
            at(now + REPORT_PERIOD_MILLIS, () -> report());
        }
    }

    private void arrive(final double meanIntervalMillis) {
        sent++;
        final int vm = random.nextInt(VMS);
        final Job job = new Job(Optional.empty(), Optional.empty(), true, 0, SERVICE_MILLIS);
        final TrackedServer chosen =
                placements.get(vm).choose(views.get(vm), job, false, s -> false).orElseThrow();
        final int server = views.get(vm).indexOf(chosen);
        if (running[server] < CAPACITY) {
            chosen.begin(0);
            run(server, new Waiting(vm, now));
        } else if (queues.get(server).size() < QUEUE) {
            chosen.begin(0);
            queues.get(server).add(new Waiting(vm, now));
        }
        if (now < DAY_MILLIS) {
            final double interval = -Math.log(1 - random.nextDouble()) * meanIntervalMillis;
            at(now + interval, () -> arrive(meanIntervalMillis));
        }
    }

    private void run(final int server, final Waiting request) {
        running[server]++;
        final double factor =
                Math.exp(
                        random.nextGaussian() * SERVICE_SPREAD
                                - SERVICE_SPREAD * SERVICE_SPREAD / 2);
        at(now + SERVICE_MILLIS * factor / speeds[server], () -> end(server, request));
    }

    private void end(final int server, final Waiting request) {
        running[server]--;
        views.get(request.vm()).get(server).end();
        if (now - request.sentMillis() <= OBJECTIVE_MILLIS) {
            inTime++;
        }
        if (!queues.get(server).isEmpty()) {
            run(server, queues.get(server).poll());
        }
    }

    @Test
    void shortRequestsMeetTheirObjectiveAtTwoServersThatHavePlacesForAll() {
        assertThat(shareInTime(231, 1, 1)).isGreaterThan(0.99);
    }

    @Test
    void shortRequestsMeetTheirObjectiveAtThreeServersThatHavePlacesForAll() {
        assertThat(shareInTime(330, 1, 1, 1)).isGreaterThan(0.99);
    }

    /** Guards against ignoring the reported loads altogether. */
    @Test
    void aSlowServerGetsFewerRequestsThanTheOthers() {
        assertThat(shareInTime(165, 1, 1, 0.4)).isGreaterThan(0.85);
    }
}
