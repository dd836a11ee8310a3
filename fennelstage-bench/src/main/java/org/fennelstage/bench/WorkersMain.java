package org.fennelstage.bench;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.backend.ServerLoads;
import org.fennelstage.backend.ServerSelector;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VersionId;

/**
 * A yardstick for the choice of a worker: one queue of requests per worker, with slots, and a cache
 * of prompt prefixes that shortens the first token. The real choices decide, on what each would
 * know.
 */
public final class WorkersMain {

    private static final int SLOTS = 8;
    private static final int PREFIXES = 400;
    private static final int CACHED = 24;
    private static final double PREFILL_SECONDS = 0.4;
    private static final double CACHED_PREFILL = 0.2;
    private static final double DECODE_SECONDS = 2;
    private static final double LOAD = 0.85;
    private static final int REQUESTS = 60_000;
    private static final int WARM_UP = 10_000;

    /** What a choice knows. */
    private enum Knowledge {
        RANDOM,
        LAGGED_LEAST,
        LAGGED_PLUS_OWN_AFFINITY,
        OWN_AFFINITY,
        LEDGER_TWO,
        LEDGER_THREE,
        LEDGER_FOUR,
        LEDGER_2_AND_2_RANDOM,
        LEDGER_4_AND_4_RANDOM,
        LEDGER_4_AND_2_RANDOM,
        LEDGER_3_AND_3_RANDOM,
        EXACT_LEAST,
        EXACT_AFFINITY
    }

    private record Event(double due, int worker, Request request, Kind kind) {}

    private record Request(int router, int prefix, double arrived, double decode) {}

    private enum Kind {
        END,
        REPORT
    }

    private WorkersMain() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(final String[] args) {
        System.out.println(
                "knowledge routers workers lag_s wait_p50_ms wait_p99_ms first_p50_ms first_p95_ms first_p99_ms hits");
        for (final int[] size : new int[][] {{9, 13}, {41, 67}}) {
            for (final Knowledge knowledge : Knowledge.values()) {
                final boolean usesLag = knowledge.name().startsWith("LAGGED");
                for (final double lag : usesLag ? new double[] {0.1, 1, 5} : new double[] {0}) {
                    System.out.println(new Trial(knowledge, size[0], size[1], lag).play());
                }
            }
        }
    }

    private static final class Trial {
        private final Knowledge knowledge;
        private final int routers;
        private final int workers;
        private final double lag;
        private final SplittableRandom random = new SplittableRandom(99);
        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> Double.compare(a.due(), b.due()));
        private final int[] exact;
        private final int[] running;
        private final int[] reported;
        private final int[][] own;
        private final Deque<Request>[] queues;
        private final Map<Integer, Boolean>[] caches;
        private final double[] waits = new double[REQUESTS];
        private final double[] firsts = new double[REQUESTS];
        private final ServerLoads loads;
        private final ServerSelector choice;
        private final double[] popularity = new double[PREFIXES];
        private int started;
        private int measured;
        private int hits;
        private double now;

        @SuppressWarnings("unchecked")
        Trial(final Knowledge knowledge, final int routers, final int workers, final double lag) {
            this.knowledge = knowledge;
            this.routers = routers;
            this.workers = workers;
            this.lag = lag;
            this.exact = new int[workers];
            this.running = new int[workers];
            this.reported = new int[workers];
            this.own = new int[routers][workers];
            this.queues = new Deque[workers];
            this.caches = new Map[workers];
            for (int i = 0; i < workers; i++) {
                queues[i] = new ArrayDeque<>();
                caches[i] = lru();
            }
            this.loads = ServerLoads.of(servers(workers));
            this.choice = choice(knowledge);
            double sum = 0;
            for (int i = 0; i < PREFIXES; i++) {
                sum += 1.0 / Math.pow(i + 1, 0.9);
                popularity[i] = sum;
            }
        }

        String play() {
            final double service = DECODE_SECONDS + PREFILL_SECONDS * 0.5;
            final double rate = LOAD * workers * SLOTS / service;
            double nextArrival = 0;
            int arrived = 0;
            if (lag > 0) {
                events.add(new Event(lag, 0, null, Kind.REPORT));
            }
            while (arrived < REQUESTS) {
                final double event = events.isEmpty() ? Double.MAX_VALUE : events.peek().due();
                if (event < nextArrival) {
                    now = event;
                    handle(events.poll());
                    continue;
                }
                now = nextArrival;
                arrive();
                arrived++;
                nextArrival = now - Math.log(1 - random.nextDouble()) / rate;
            }
            return row();
        }

        private void arrive() {
            final Request request =
                    new Request(
                            random.nextInt(routers),
                            prefix(),
                            now,
                            -Math.log(1 - random.nextDouble()) * DECODE_SECONDS);
            final int worker = choose(request);
            exact[worker]++;
            own[request.router()][worker]++;
            if (running[worker] < SLOTS) {
                start(worker, request);
            } else {
                queues[worker].add(request);
            }
        }

        private void start(final int worker, final Request request) {
            running[worker]++;
            final boolean hit = caches[worker].put(request.prefix(), Boolean.TRUE) != null;
            final double prefill = PREFILL_SECONDS * (hit ? CACHED_PREFILL : 1);
            if (started++ >= WARM_UP && measured < REQUESTS) {
                waits[measured] = now - request.arrived();
                firsts[measured] = waits[measured] + prefill;
                measured++;
                hits += hit ? 1 : 0;
            }
            events.add(new Event(now + prefill + request.decode(), worker, request, Kind.END));
        }

        private void handle(final Event event) {
            if (event.kind() == Kind.REPORT) {
                System.arraycopy(exact, 0, reported, 0, workers);
                events.add(new Event(now + lag, 0, null, Kind.REPORT));
                return;
            }
            running[event.worker()]--;
            exact[event.worker()]--;
            own[event.request().router()][event.worker()]--;
            final Request next = queues[event.worker()].poll();
            if (next != null) {
                start(event.worker(), next);
            }
        }

        private int choose(final Request request) {
            final long prefix = request.prefix() * 0x9E3779B97F4A7C15L;
            final int[] candidates =
                    switch (knowledge) {
                        case LEDGER_TWO -> new int[] {2, 0};
                        case LEDGER_THREE -> new int[] {3, 0};
                        case LEDGER_FOUR -> new int[] {4, 0};
                        case LEDGER_2_AND_2_RANDOM -> new int[] {2, 2};
                        case LEDGER_4_AND_4_RANDOM -> new int[] {4, 4};
                        case LEDGER_4_AND_2_RANDOM -> new int[] {4, 2};
                        case LEDGER_3_AND_3_RANDOM -> new int[] {3, 3};
                        default -> new int[0];
                    };
            if (candidates.length > 0) {
                return among(prefix, candidates[0], candidates[1]);
            }
            for (int i = 0; i < workers; i++) {
                final int load =
                        switch (knowledge) {
                            case LAGGED_LEAST -> reported[i];
                            case LAGGED_PLUS_OWN_AFFINITY ->
                                    Math.max(reported[i], own[request.router()][i]);
                            case OWN_AFFINITY -> own[request.router()][i];
                            default -> exact[i];
                        };
                loads.set(i, load, false);
            }
            return choice.choose(loads, prefix);
        }

        /** Asks the ledger for the first candidates by affinity and some others. */
        private int among(final long prefix, final int affine, final int others) {
            final int[] best = new int[affine];
            for (int i = 0; i < workers; i++) {
                loads.set(i, exact[i], false);
            }
            ServerSelector.firstByAffinity(loads, prefix, best);
            final int[] all = Arrays.copyOf(best, affine + others);
            for (int i = affine; i < all.length; i++) {
                all[i] = random.nextInt(workers);
            }
            return amongCandidates(loads, all);
        }

        private int prefix() {
            final double point = random.nextDouble() * popularity[PREFIXES - 1];
            final int found = Arrays.binarySearch(popularity, point);
            return Math.min(PREFIXES - 1, found < 0 ? -found - 1 : found);
        }

        private String row() {
            Arrays.sort(waits, 0, measured);
            Arrays.sort(firsts, 0, measured);
            return String.format(
                    "%s %d %d %.1f %.0f %.0f %.0f %.0f %.0f %.3f",
                    knowledge,
                    routers,
                    workers,
                    lag,
                    waits[measured / 2] * 1000,
                    waits[(int) (measured * 0.99)] * 1000,
                    firsts[measured / 2] * 1000,
                    firsts[(int) (measured * 0.95)] * 1000,
                    firsts[(int) (measured * 0.99)] * 1000,
                    (double) hits / measured);
        }

        private ServerSelector choice(final Knowledge known) {
            return switch (known) {
                case RANDOM -> ServerSelector.random(random.split());
                case LAGGED_LEAST, EXACT_LEAST -> ServerSelector.leastLoad(random.split());
                default -> ServerSelector.boundedAffinity(1.25);
            };
        }

        private static Map<Integer, Boolean> lru() {
            return new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<Integer, Boolean> eldest) {
                    return size() > CACHED;
                }
            };
        }
    }

    /** Chooses as {@code Placement} does: the first with a free slot, else the least loaded. */
    private static int amongCandidates(final ServerLoads loads, final int[] candidates) {
        int chosen = ServerSelector.NONE;
        double least = Double.POSITIVE_INFINITY;
        for (final int candidate : candidates) {
            if (candidate == ServerSelector.NONE || loads.isExcluded(candidate)) {
                continue;
            }
            final double utilisation = loads.utilisation(candidate);
            if (utilisation < 1) {
                return candidate;
            }
            if (utilisation < least) {
                least = utilisation;
                chosen = candidate;
            }
        }
        return chosen;
    }

    static List<BackendServer> servers(final int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                new BackendServer(
                                        BackendServerId.of("w" + i),
                                        DataCentreId.of("dc"),
                                        "127.0.0.1",
                                        1 + i,
                                        Set.of(VersionId.of("m", "v1")),
                                        Optional.empty(),
                                        SLOTS,
                                        false))
                .toList();
    }
}
