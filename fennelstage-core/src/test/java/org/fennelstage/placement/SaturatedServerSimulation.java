package org.fennelstage.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import org.fennelstage.admission.TrafficClass;
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
import org.fennelstage.permit.PermitDecision;
import org.fennelstage.permit.PermitId;
import org.fennelstage.permit.PermitLedger;
import org.fennelstage.permit.PermitTerms;

/**
 * Simulates a fleet that sends short requests to one backend server, which rejects those that its
 * queue cannot hold. Rejected callers return once.
 */
final class SaturatedServerSimulation {

    private static final int VMS = 90;
    private static final int CAPACITY = 6;
    private static final int QUEUE = 24;
    private static final long REPORT_PERIOD_MILLIS = 500;
    private static final long REPORT_DELAY_MILLIS = 250;
    private static final double SERVICE_MILLIS = 43;
    private static final double SERVICE_SPREAD = 0.5;
    private static final double OBJECTIVE_MILLIS = 200;
    private static final double TIMEOUT_MILLIS = 1_200;

    /** Time until the VM that issues permits has a request for one; milliseconds. */
    private static final double PERMIT_DELAY_MILLIS = 3;

    static final long DAY_MILLIS = 20_000;

    /** Requests per second that the backend server completes. */
    static final double RATE = 1_000 * CAPACITY / SERVICE_MILLIS;

    private static final Incarnation SERVER = Incarnation.of(BackendServerId.of("s-1"));

    private record Event(double atMillis, Runnable action) {}

    /** A request of a caller, which returns once if it is rejected. */
    private record Request(
            int number,
            int vm,
            TrafficClass traffic,
            double firstSentMillis,
            double sentMillis,
            boolean returned) {}

    /** What the callers of one class got. */
    static final class Counts {
        int sent;
        int inTime;
        int served;

        double shareServed() {
            return served / (double) sent;
        }

        double shareInTime() {
            return inTime / (double) sent;
        }
    }

    private final Random random;

    /** Draws classes apart from the other draws, so that these do not depend on classes. */
    private final Random classRandom;

    private final AtomicLong clock = new AtomicLong();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> Double.compare(a.atMillis(), b.atMillis()));
    private final List<TrackedServer> servers = new ArrayList<>();
    private final List<LoadBoard> boards = new ArrayList<>();
    private final List<Placement> placements = new ArrayList<>();
    private final PermitLedger ledger;
    private final Deque<Request> queue = new ArrayDeque<>();
    private final Map<TrafficClass, Counts> counts = new HashMap<>();
    private Map<TrafficClass, DoubleUnaryOperator> requestsPerSecond;
    private int running;

    /** Time until a VM handles a message that it has received; milliseconds. */
    double vmDelayMillis;

    /** Time between a caller and a VM, in each direction; milliseconds. */
    double callerDelayMillis;

    /** Part of the requests that the server runs without a response reaching the VM. */
    double lostShare;

    int countedFromMillis;
    private int requests;
    private double now;

    /**
     * Creates a simulation.
     *
     * @param seed the seed of the random numbers
     * @param fair whether permits are shared by priority and team
     */
    SaturatedServerSimulation(final long seed, final boolean fair) {
        this.random = new Random(seed);
        this.classRandom = new Random(seed + 1);
        this.ledger =
                fair
                        ? PermitLedger.emptyWithFairShares(clock::get)
                        : PermitLedger.empty(clock::get);
    }

    /** Simulates requests of one class at a rate that depends on the time in milliseconds. */
    void simulate(final DoubleUnaryOperator rate) {
        simulate(Map.of(TrafficClass.UNKNOWN, rate));
    }

    /** Simulates requests of several classes at rates that depend on the time in milliseconds. */
    void simulate(final Map<TrafficClass, DoubleUnaryOperator> rates) {
        requestsPerSecond = rates;
        for (int vm = 0; vm < VMS; vm++) {
            addVm(vm);
        }
        at(0, this::report);
        at(0, this::arrive);
        while (!events.isEmpty()) {
            final Event next = events.poll();
            now = next.atMillis();
            clock.set((long) now);
            next.action().run();
        }
    }

    double shareInTime() {
        return total().shareInTime();
    }

    double shareServed() {
        return total().shareServed();
    }

    /** Returns what the callers of a class got. */
    Counts counts(final TrafficClass traffic) {
        return counts.computeIfAbsent(traffic, t -> new Counts());
    }

    private Counts total() {
        return total(t -> true);
    }

    /** Returns what the callers of some classes got. */
    Counts total(final Predicate<TrafficClass> selected) {
        final Counts total = new Counts();
        counts.forEach(
                (traffic, part) -> {
                    if (selected.test(traffic)) {
                        total.sent += part.sent;
                        total.served += part.served;
                        total.inTime += part.inTime;
                    }
                });
        return total;
    }

    private double rate() {
        return requestsPerSecond.values().stream().mapToDouble(r -> r.applyAsDouble(now)).sum();
    }

    private TrafficClass drawClass() {
        double left = classRandom.nextDouble() * rate();
        TrafficClass drawn = null;
        for (final Map.Entry<TrafficClass, DoubleUnaryOperator> r : requestsPerSecond.entrySet()) {
            drawn = r.getKey();
            left -= r.getValue().applyAsDouble(now);
            if (left < 0) {
                break;
            }
        }
        return Objects.requireNonNull(drawn, "no classes");
    }

    private void addVm(final int vm) {
        final ServerEntry entry =
                new ServerEntry(
                        SERVER,
                        ServiceName.of("portal"),
                        new ServerAddress("127.0.0.1", 9000),
                        DataCentreId.of("dc-0"),
                        "v1",
                        CAPACITY,
                        false,
                        Position.of(0, 1));
        servers.add(TrackedServer.of(entry, clock::get, Reachability.of(clock::get)));
        final LoadBoard board = LoadBoard.of(clock::get, () -> 1);
        boards.add(board);
        placements.add(Placement.of(DataCentreId.of("dc-" + vm % 3), new Random(vm), board));
    }

    private void at(final double millis, final Runnable action) {
        events.add(new Event(millis, action));
    }

    /** Informs every VM, a while later, of what all others have at the server now. */
    private void report() {
        final int all = servers.stream().mapToInt(TrackedServer::running).sum();
        final List<Integer> others = servers.stream().map(s -> all - s.running()).toList();
        at(now + REPORT_DELAY_MILLIS, () -> deliver(others));
        if (now < DAY_MILLIS) {
            at(now + REPORT_PERIOD_MILLIS, this::report);
        }
    }

    private void deliver(final List<Integer> others) {
        for (int vm = 0; vm < VMS; vm++) {
            final Load load = new Load(others.get(vm), 0);
            boards.get(vm)
                    .onReport(
                            VmId.of("others"),
                            0,
                            Map.of(SERVER.server(), load),
                            REPORT_DELAY_MILLIS);
        }
    }

    private void arrive() {
        final TrafficClass traffic = drawClass();
        if (now >= countedFromMillis) {
            counts(traffic).sent++;
        }
        final int vm = random.nextInt(VMS);
        final double sentMillis = now + callerDelayMillis;
        final Request request = new Request(++requests, vm, traffic, now, sentMillis, false);
        at(sentMillis, () -> attempt(request));
        if (now < DAY_MILLIS) {
            final double mean = 1_000 / rate();
            at(now - Math.log(1 - random.nextDouble()) * mean, this::arrive);
        }
    }

    private void attempt(final Request request) {
        final TrackedServer server = servers.get(request.vm());
        if (!placements.get(request.vm()).hasFreeSlot(server)) {
            server.onSaturated();
        }
        if (server.isSaturated()) {
            at(now + PERMIT_DELAY_MILLIS, () -> requestPermit(request));
        } else {
            send(request);
        }
    }

    private void requestPermit(final Request request) {
        final PermitDecision decision =
                ledger.issue(
                        SERVER,
                        permit(request),
                        new PermitTerms(
                                CAPACITY,
                                Duration.ofMillis((long) OBJECTIVE_MILLIS),
                                Duration.ofMillis((long) TIMEOUT_MILLIS),
                                Optional.of(request.traffic())
                                        .filter(t -> !t.equals(TrafficClass.UNKNOWN))));
        if (decision.issued()) {
            at(now + vmDelayMillis, () -> send(request));
        } else {
            reject(request, (double) decision.retryAfter(random.nextDouble()).toMillis());
        }
    }

    private static PermitId permit(final Request request) {
        return new PermitId(VmId.of("vm-" + request.vm()), request.number());
    }

    private void send(final Request request) {
        if (running < CAPACITY) {
            servers.get(request.vm()).begin(0);
            run(request);
        } else if (queue.size() < QUEUE) {
            servers.get(request.vm()).begin(0);
            queue.add(request);
        } else {
            ledger.onReturned(SERVER, permit(request), Optional.empty());
            reject(request, 200);
        }
    }

    private void reject(final Request request, final double retryAfterMillis) {
        if (!request.returned()) {
            final double next = now + retryAfterMillis + 2 * callerDelayMillis;
            final int vm = random.nextInt(VMS);
            final Request returned =
                    new Request(
                            ++requests,
                            vm,
                            request.traffic(),
                            request.firstSentMillis(),
                            next,
                            true);
            at(next, () -> attempt(returned));
        }
    }

    private void run(final Request request) {
        running++;
        final double exponent =
                random.nextGaussian() * SERVICE_SPREAD - SERVICE_SPREAD * SERVICE_SPREAD / 2;
        at(now + SERVICE_MILLIS * Math.exp(exponent), () -> end(request));
    }

    private void end(final Request request) {
        running--;
        if (random.nextDouble() < lostShare) {
            at(now + TIMEOUT_MILLIS, () -> endLost(request));
        } else {
            at(now + vmDelayMillis, () -> respond(request));
        }
        if (!queue.isEmpty()) {
            run(queue.poll());
        }
    }

    private void endLost(final Request request) {
        ledger.onReturned(SERVER, permit(request), Optional.empty());
        servers.get(request.vm()).end();
    }

    /** As the VM computes it for a request that was sent with a permit. */
    private Duration timeAtServer(final Request request) {
        final double replyMillis = PERMIT_DELAY_MILLIS + vmDelayMillis;
        final double totalMillis = now - request.sentMillis() - replyMillis;
        return Duration.ofMillis((long) Math.max(0, totalMillis - replyMillis / 2));
    }

    private void respond(final Request request) {
        ledger.onReturned(SERVER, permit(request), Optional.of(timeAtServer(request)));
        servers.get(request.vm()).end();
        if (request.firstSentMillis() >= countedFromMillis) {
            counts(request.traffic()).served++;
            final double receivedMillis = now + callerDelayMillis;
            counts(request.traffic()).inTime +=
                    receivedMillis - request.firstSentMillis() <= OBJECTIVE_MILLIS ? 1 : 0;
        }
    }
}
