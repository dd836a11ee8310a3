package org.fennelstage.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;

/**
 * VMs that send prompts to backend servers, some of which crash: servers start to respond after a
 * wait, prompts with equal parts prefer the same server, and crash reports travel in messages that
 * may be lost. Not thread-safe.
 */
final class CrashingPartSimulation {

    /**
     * What is simulated.
     *
     * @param vms the number of VMs
     * @param servers the number of backend servers
     * @param soundPerSecond sound requests per second
     * @param crashingPerSecond requests per second with each crashing part
     * @param crashingParts the number of crashing parts
     * @param crashingPosition the position of a crashing part in its prompts
     * @param otherCrashesPerSecond crashes per second that no request causes
     * @param outageServers the number of servers that end together, twice, through no request
     * @param usesParts whether requests are recognised by the parts of their prompts
     */
    record Setup(
            int vms,
            int servers,
            double soundPerSecond,
            double crashingPerSecond,
            int crashingParts,
            int crashingPosition,
            double otherCrashesPerSecond,
            int outageServers,
            boolean usesParts) {}

    /**
     * What was seen.
     *
     * @param crashes the number of crashes caused by requests
     * @param lateAttempts the largest number of attempts with one crashing part that began at a
     *     server later than {@link #STABLE_MILLIS} after its fifth crash
     * @param firstTryBefore share of the sound requests with a first part of crashing ones that
     *     started at the first attempt before any crash
     * @param firstTryLater the same from twice {@link #STABLE_MILLIS} after the fifth crash
     * @param soundCauses contents and parts of sound requests that a VM took for a cause
     */
    record Outcome(
            int crashes,
            int lateAttempts,
            double firstTryBefore,
            double firstTryLater,
            int soundCauses) {}

    static final long STABLE_MILLIS = 3_000;

    private static final long START_MILLIS = 5_000;
    private static final long END_MILLIS = 30_000;
    private static final long[] OUTAGE_MILLIS = {5_000, 15_000};
    private static final int OUTAGE_SPREAD_MILLIS = 100;
    private static final long DOWN_MILLIS = 5_000;
    private static final long PROBE_MILLIS = 60;
    private static final long STORE_MILLIS = 300;
    private static final long SUSPECT_MILLIS = 2_000;
    private static final long[] TRIAL_AFTER_MILLIS = {1_500, 10_000};
    private static final int CRASHES_UNTIL_BOUND = 5;
    private static final int MAX_ATTEMPTS = 3;
    private static final int TRANSMISSIONS = 3;
    private static final long TRANSMISSION_PERIOD_MILLIS = 300;
    private static final double LOSS = 0.05;
    private static final double AFFINITY = 0.7;
    private static final int FIRST_PARTS = 8;
    private static final int SECOND_PARTS = 400;

    private record Event(long atMillis, long order, Runnable action) {}

    /** A request: the crashing part that it holds, if any, and where it stands. */
    private static final class Request {
        private RequestFingerprints fingerprints;
        private String firstPart;
        private int affinity;
        private Optional<Integer> crashingPart = Optional.empty();
        private Vm vm;
        private int attempts;
        private boolean trial;
    }

    private static final class Attempt {
        private final Request request;
        private final Server server;
        private long startedMillis = Long.MAX_VALUE;
        private boolean ended;

        Attempt(final Request request, final Server server) {
            this.request = request;
            this.server = server;
        }
    }

    private static final class Server {
        private final BackendServerId id;
        private final List<Attempt> running = new ArrayList<>();
        private Incarnation incarnation;
        private boolean up = true;

        Server(final int number) {
            id = BackendServerId.of("i-" + number);
            incarnation = new Incarnation(id, 0);
        }
    }

    private final class Vm {
        private final CrashLedger ledger = CrashLedger.of(() -> now);
        private final Set<Fingerprint> quarantine = new HashSet<>();

        void onReport(final CrashReport report) {
            for (final Fingerprint cause : ledger.onCrash(report)) {
                if (quarantine.add(cause)) {
                    if (!crashCauses.contains(cause)) {
                        soundCauses.add(cause);
                    }
                    store(cause);
                }
            }
            ledger.explainedCauses().stream().filter(quarantine::contains).forEach(this::drop);
        }

        private void drop(final Fingerprint cause) {
            quarantine.remove(cause);
            ledger.removeCause(cause);
            release(cause);
        }

        boolean rejects(final Request request) {
            return request.fingerprints.all().anyMatch(quarantine::contains);
        }
    }

    private final Setup setup;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final List<Vm> vms = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Set<Fingerprint> crashCauses = new HashSet<>();
    private final Set<Fingerprint> soundCauses = new HashSet<>();
    private final Set<Fingerprint> stored = new HashSet<>();
    private final Map<Fingerprint, Integer> trials = new HashMap<>();
    private final Map<Integer, Integer> crashesByPart = new HashMap<>();
    private final Map<Integer, Long> fifthCrashMillis = new HashMap<>();
    private final Map<Integer, Integer> lateAttempts = new HashMap<>();
    private final int[] before = new int[2];
    private final int[] later = new int[2];
    private long now;
    private long order;
    private int crashes;

    private CrashingPartSimulation(final Setup setup, final long seed) {
        this.setup = setup;
        this.random = new Random(seed);
        for (int i = 0; i < setup.vms(); i++) {
            vms.add(new Vm());
        }
        for (int i = 0; i < setup.servers(); i++) {
            servers.add(new Server(i));
        }
    }

    static Outcome run(final Setup setup, final long seed) {
        return new CrashingPartSimulation(setup, seed).run();
    }

    private Outcome run() {
        arrive(0, 1000 / setup.soundPerSecond(), this::soundRequest);
        for (int part = 0; part < setup.crashingParts(); part++) {
            final int crashing = part;
            arrive(START_MILLIS, 1000 / setup.crashingPerSecond(), () -> crashingRequest(crashing));
        }
        if (setup.otherCrashesPerSecond() > 0) {
            schedulePeriodic(
                    START_MILLIS,
                    1000 / setup.otherCrashesPerSecond(),
                    () -> crash(servers.get(random.nextInt(servers.size()))));
        }
        for (final long at : OUTAGE_MILLIS) {
            servers.subList(0, setup.outageServers())
                    .forEach(
                            server ->
                                    schedule(
                                            at + random.nextInt(OUTAGE_SPREAD_MILLIS),
                                            () -> crash(server)));
        }
        while (!events.isEmpty()) {
            final Event next = events.poll();
            now = next.atMillis();
            next.action().run();
        }
        final int mostLate = lateAttempts.values().stream().max(Integer::compare).orElse(0);
        return new Outcome(crashes, mostLate, share(before), share(later), soundCauses.size());
    }

    private static double share(final int[] counts) {
        return counts[0] == 0 ? 1 : counts[1] / (double) counts[0];
    }

    private void schedule(final long delayMillis, final Runnable action) {
        events.add(new Event(now + delayMillis, order++, action));
    }

    private void schedulePeriodic(
            final long startMillis, final double meanMillis, final Runnable action) {
        double at = startMillis;
        while (at < END_MILLIS) {
            at -= meanMillis * Math.log(1 - random.nextDouble());
            events.add(new Event((long) at, order++, action));
        }
    }

    private interface Source {
        Request next();
    }

    private void arrive(final long startMillis, final double meanMillis, final Source source) {
        schedulePeriodic(startMillis, meanMillis, () -> onArrival(source.next()));
    }

    private Request soundRequest() {
        return request(
                "first" + random.nextInt(FIRST_PARTS), "second" + random.nextInt(SECOND_PARTS));
    }

    private Request crashingRequest(final int part) {
        final String crashing = "crashing" + part;
        final Request request =
                setup.crashingPosition() == 0
                        ? request(crashing, "second" + random.nextInt(SECOND_PARTS))
                        : request("first" + part, crashing);
        request.crashingPart = Optional.of(part);
        crashCauses.add(request.fingerprints.content());
        crashCauses.add(Fingerprint.ofPromptPart("crashing" + part));
        return request;
    }

    private Request request(final String firstPart, final String secondPart) {
        final Request request = new Request();
        final Fingerprint content = new Fingerprint(random.nextLong());
        request.fingerprints =
                setup.usesParts()
                        ? new RequestFingerprints(
                                content,
                                List.of(
                                        Fingerprint.ofPromptPart(firstPart),
                                        Fingerprint.ofPromptPart(secondPart)))
                        : RequestFingerprints.of(content);
        request.firstPart = firstPart;
        request.affinity = Math.floorMod((firstPart + secondPart).hashCode(), servers.size());
        request.vm = vms.get(random.nextInt(vms.size()));
        return request;
    }

    private void onArrival(final Request request) {
        request.trial = request.vm.rejects(request) && takeTrial(request);
        final boolean counted = isCounted(request);
        if (counted) {
            counts()[0]++;
        }
        send(request);
    }

    private boolean isCounted(final Request request) {
        return request.crashingPart.isEmpty()
                && request.firstPart.startsWith("first")
                && Integer.parseInt(request.firstPart.substring("first".length()))
                        < setup.crashingParts()
                && counts() != null;
    }

    /** Returns the counts of the present phase, null between the phases. */
    private int[] counts() {
        if (now < START_MILLIS) {
            return before;
        }
        final boolean allCrashedFiveTimes = fifthCrashMillis.size() == setup.crashingParts();
        final long last =
                fifthCrashMillis.values().stream().max(Long::compare).orElse(Long.MAX_VALUE / 2);
        return allCrashedFiveTimes && now > last + 2 * STABLE_MILLIS ? later : null;
    }

    private boolean takeTrial(final Request request) {
        return request.fingerprints
                .all()
                .filter(request.vm.quarantine::contains)
                .allMatch(cause -> trials.merge(cause, -1, Integer::sum) >= 0);
    }

    private void send(final Request request) {
        final boolean mayGo =
                (request.trial && request.attempts == 0) || !request.vm.rejects(request);
        final List<Server> up = servers.stream().filter(s -> s.up).toList();
        if (!mayGo || up.isEmpty() || request.attempts >= MAX_ATTEMPTS) {
            return;
        }
        request.attempts++;
        final Server preferred = servers.get(request.affinity);
        final Server server =
                preferred.up && random.nextDouble() < AFFINITY
                        ? preferred
                        : up.get(random.nextInt(up.size()));
        request.crashingPart.ifPresent(this::countLateAttempt);
        final Attempt attempt = new Attempt(request, server);
        server.running.add(attempt);
        schedule(50 + random.nextInt(250), () -> onStarted(attempt));
    }

    private void countLateAttempt(final int part) {
        if (now > fifthCrashMillis.getOrDefault(part, Long.MAX_VALUE / 2) + STABLE_MILLIS) {
            lateAttempts.merge(part, 1, Integer::sum);
        }
    }

    private void onStarted(final Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.startedMillis = now;
        if (attempt.request.crashingPart.isPresent()) {
            schedule(random.nextInt(120), () -> crash(attempt));
            return;
        }
        if (attempt.request.attempts == 1 && isCounted(attempt.request)) {
            counts()[1]++;
        }
        schedule((long) (300 + 1_000 * -Math.log(1 - random.nextDouble())), () -> end(attempt));
    }

    private void end(final Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.server.running.remove(attempt);
        final Vm vm = attempt.request.vm;
        for (final ClearedCrashes cleared : vm.ledger.onResponse(attempt.request.fingerprints)) {
            broadcast(vm, peer -> peer.ledger.clear(cleared));
        }
        attempt.request.fingerprints.all().filter(vm.quarantine::contains).forEach(this::release);
    }

    private void crash(final Attempt attempt) {
        if (!attempt.ended) {
            final int part = attempt.request.crashingPart.orElseThrow();
            crashes++;
            if (crashesByPart.merge(part, 1, Integer::sum) == CRASHES_UNTIL_BOUND) {
                fifthCrashMillis.put(part, now);
            }
            crash(attempt.server);
        }
    }

    private void crash(final Server server) {
        if (!server.up) {
            return;
        }
        server.up = false;
        final Incarnation crashed = server.incarnation;
        final Map<Vm, Set<RequestFingerprints>> atRisk = new LinkedHashMap<>();
        for (final Attempt attempt : List.copyOf(server.running)) {
            attempt.ended = true;
            if (attempt.startedMillis > now - SUSPECT_MILLIS) {
                atRisk.computeIfAbsent(attempt.request.vm, v -> new LinkedHashSet<>())
                        .add(attempt.request.fingerprints);
            }
            schedule(1, () -> send(attempt.request));
        }
        server.running.clear();
        atRisk.forEach((vm, requests) -> report(vm, new CrashReport(crashed, requests)));
        schedule(
                DOWN_MILLIS,
                () -> {
                    server.up = true;
                    server.incarnation = new Incarnation(server.id, now);
                });
    }

    private void report(final Vm vm, final CrashReport report) {
        schedule(
                PROBE_MILLIS,
                () -> {
                    vm.onReport(report);
                    broadcast(vm, peer -> peer.onReport(report));
                });
    }

    private interface Message {
        void receive(Vm vm);
    }

    private void broadcast(final Vm from, final Message message) {
        for (final Vm vm : vms) {
            for (int i = 0; vm != from && i < TRANSMISSIONS; i++) {
                if (random.nextDouble() >= LOSS) {
                    schedule(
                            i * TRANSMISSION_PERIOD_MILLIS + 1 + random.nextInt(4),
                            () -> message.receive(vm));
                }
            }
        }
    }

    private void store(final Fingerprint cause) {
        if (!stored.add(cause)) {
            return;
        }
        schedule(
                STORE_MILLIS,
                () -> {
                    if (stored.contains(cause)) {
                        vms.forEach(vm -> vm.quarantine.add(cause));
                        vms.forEach(vm -> vm.ledger.addCause(cause));
                    }
                });
        for (final long after : TRIAL_AFTER_MILLIS) {
            schedule(after, () -> trials.merge(cause, 1, (old, one) -> Math.max(0, old) + one));
        }
    }

    private void release(final Fingerprint cause) {
        if (stored.remove(cause)) {
            schedule(
                    STORE_MILLIS,
                    () ->
                            vms.forEach(
                                    vm -> {
                                        vm.quarantine.remove(cause);
                                        vm.ledger.removeCause(cause);
                                    }));
        }
    }
}
