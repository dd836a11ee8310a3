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
 * Compares ways to select a backend server by simulation. Each server has slots, a queue and a
 * cache of prompt prefixes that shortens the time to the first token. The {@link ServerSelector}s
 * of the product select, on the loads that they would know in each case.
 */
public final class WorkersMain {

    private static final int SLOTS = 8;
    private static final int PREFIX_COUNT = 400;
    private static final int CACHED_PREFIXES = 24;
    private static final double PREFILL_SECONDS = 0.4;

    /** The time to read a prompt with a cached prefix, as a multiple of that without. */
    private static final double CACHED_PREFILL_FACTOR = 0.2;

    /** The expected mean time to read a prompt, as a multiple of that without a cached prefix. */
    private static final double MEAN_PREFILL_FACTOR = 0.5;

    private static final double MEAN_DECODE_SECONDS = 2;
    private static final double OFFERED_UTILISATION = 0.85;
    private static final int REQUEST_COUNT = 60_000;

    /** The number of requests that are not counted, because caches are still empty. */
    private static final int WARM_UP_REQUESTS = 10_000;

    private static final double ZIPF_EXPONENT = 0.9;
    private static final double AFFINITY_BOUND = 1.25;

    /** Spreads the indexes of prefixes over all longs; 2^64 divided by the golden ratio. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /**
     * How a server is selected, and on which loads. The constants that begin with {@code LEDGER}
     * know exact loads and consider only the given numbers of servers: those with the highest
     * affinity, then random ones. The first of them with a free slot is selected, or else the least
     * utilised.
     */
    private enum Selection {
        /** A random server. */
        RANDOM,
        /** The least loaded server according to delayed reports. */
        LAGGED_LEAST,
        /**
         * Bounded affinity on the larger of the reported load and that of this VM's own requests.
         */
        LAGGED_PLUS_OWN_AFFINITY,
        /** Bounded affinity on the load of this VM's own requests. */
        OWN_AFFINITY,
        LEDGER_TWO,
        LEDGER_THREE,
        LEDGER_FOUR,
        LEDGER_2_AND_2_RANDOM,
        LEDGER_4_AND_4_RANDOM,
        LEDGER_4_AND_2_RANDOM,
        LEDGER_3_AND_3_RANDOM,
        /** The least loaded server according to exact loads. */
        EXACT_LEAST,
        /** Bounded affinity on exact loads. */
        EXACT_AFFINITY
    }

    /**
     * A scheduled event.
     *
     * @param due the virtual time; seconds
     * @param server the index of the server that ends the request
     * @param request the request that ends, null for a report
     * @param kind the kind
     */
    private record Event(double due, int server, Request request, EventKind kind) {}

    /**
     * A request.
     *
     * @param vm the index of the VM that receives it
     * @param prefix the index of the prompt prefix
     * @param arrived the virtual time of arrival; seconds
     * @param decode the time from the first to the last token; seconds
     */
    private record Request(int vm, int prefix, double arrived, double decode) {}

    private enum EventKind {
        /** A request ends. */
        END,
        /** The loads of all servers are reported to all VMs. */
        REPORT
    }

    private WorkersMain() {}

    /**
     * Prints a row for each fleet size, selection and delay of reports.
     *
     * @param args none
     */
    public static void main(final String[] args) {
        System.out.println(
                "selection vms servers lag_s wait_p50_ms wait_p99_ms first_token_p50_ms first_token_p95_ms first_token_p99_ms cache_hit_ratio");
        for (final int[] size : new int[][] {{9, 13}, {41, 67}}) {
            for (final Selection selection : Selection.values()) {
                final boolean usesLag = selection.name().startsWith("LAGGED");
                for (final double lag : usesLag ? new double[] {0.1, 1, 5} : new double[] {0}) {
                    System.out.println(new Simulation(selection, size[0], size[1], lag).run());
                }
            }
        }
    }

    private static final class Simulation {
        private final Selection selection;
        private final int vmCount;
        private final int serverCount;
        private final double lag;
        private final SplittableRandom random = new SplittableRandom(99);
        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> Double.compare(a.due(), b.due()));

        /** Running and queued requests per server. */
        private final int[] exactLoads;

        private final int[] running;

        /** Running and queued requests per server at the time of the last report. */
        private final int[] reportedLoads;

        /** Running and queued requests per VM and server. */
        private final int[][] ownLoads;

        private final Deque<Request>[] queues;
        private final Map<Integer, Boolean>[] caches;
        private final double[] waitSeconds = new double[REQUEST_COUNT];
        private final double[] firstTokenSeconds = new double[REQUEST_COUNT];
        private final ServerLoads loads;
        private final ServerSelector selector;
        private final double[] cumulativePopularity = new double[PREFIX_COUNT];
        private int started;
        private int measured;
        private int hits;
        private double now;

        @SuppressWarnings("unchecked")
        Simulation(
                final Selection selection,
                final int vmCount,
                final int serverCount,
                final double lag) {
            this.selection = selection;
            this.vmCount = vmCount;
            this.serverCount = serverCount;
            this.lag = lag;
            this.exactLoads = new int[serverCount];
            this.running = new int[serverCount];
            this.reportedLoads = new int[serverCount];
            this.ownLoads = new int[vmCount][serverCount];
            this.queues = new Deque[serverCount];
            this.caches = new Map[serverCount];
            for (int i = 0; i < serverCount; i++) {
                queues[i] = new ArrayDeque<>();
                caches[i] = lruCache();
            }
            this.loads = ServerLoads.of(servers(serverCount));
            this.selector = selector(selection);
            double sum = 0;
            for (int i = 0; i < PREFIX_COUNT; i++) {
                sum += 1.0 / Math.pow(i + 1, ZIPF_EXPONENT);
                cumulativePopularity[i] = sum;
            }
        }

        String run() {
            final double serviceSeconds =
                    MEAN_DECODE_SECONDS + PREFILL_SECONDS * MEAN_PREFILL_FACTOR;
            final double rate = OFFERED_UTILISATION * serverCount * SLOTS / serviceSeconds;
            double nextArrival = 0;
            int arrived = 0;
            if (lag > 0) {
                events.add(new Event(lag, 0, null, EventKind.REPORT));
            }
            while (arrived < REQUEST_COUNT) {
                final double nextEvent = events.isEmpty() ? Double.MAX_VALUE : events.peek().due();
                if (nextEvent < nextArrival) {
                    now = nextEvent;
                    onEvent(events.poll());
                    continue;
                }
                now = nextArrival;
                onArrival();
                arrived++;
                nextArrival = now - Math.log(1 - random.nextDouble()) / rate;
            }
            return row();
        }

        private void onArrival() {
            final Request request =
                    new Request(
                            random.nextInt(vmCount),
                            randomPrefix(),
                            now,
                            -Math.log(1 - random.nextDouble()) * MEAN_DECODE_SECONDS);
            final int server = select(request);
            exactLoads[server]++;
            ownLoads[request.vm()][server]++;
            if (running[server] < SLOTS) {
                start(server, request);
            } else {
                queues[server].add(request);
            }
        }

        private void start(final int server, final Request request) {
            running[server]++;
            final boolean hit = caches[server].put(request.prefix(), Boolean.TRUE) != null;
            final double prefill = PREFILL_SECONDS * (hit ? CACHED_PREFILL_FACTOR : 1);
            if (started++ >= WARM_UP_REQUESTS && measured < REQUEST_COUNT) {
                waitSeconds[measured] = now - request.arrived();
                firstTokenSeconds[measured] = waitSeconds[measured] + prefill;
                measured++;
                hits += hit ? 1 : 0;
            }
            events.add(new Event(now + prefill + request.decode(), server, request, EventKind.END));
        }

        private void onEvent(final Event event) {
            if (event.kind() == EventKind.REPORT) {
                System.arraycopy(exactLoads, 0, reportedLoads, 0, serverCount);
                events.add(new Event(now + lag, 0, null, EventKind.REPORT));
                return;
            }
            running[event.server()]--;
            exactLoads[event.server()]--;
            ownLoads[event.request().vm()][event.server()]--;
            final Request next = queues[event.server()].poll();
            if (next != null) {
                start(event.server(), next);
            }
        }

        private int select(final Request request) {
            final long prefixHash = request.prefix() * HASH_MULTIPLIER;
            final int[] candidates =
                    switch (selection) {
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
                return selectByLedger(prefixHash, candidates[0], candidates[1]);
            }
            for (int i = 0; i < serverCount; i++) {
                final int load =
                        switch (selection) {
                            case LAGGED_LEAST -> reportedLoads[i];
                            case LAGGED_PLUS_OWN_AFFINITY ->
                                    Math.max(reportedLoads[i], ownLoads[request.vm()][i]);
                            case OWN_AFFINITY -> ownLoads[request.vm()][i];
                            default -> exactLoads[i];
                        };
                loads.set(i, load, false);
            }
            return selector.choose(loads, prefixHash);
        }

        /** Selects among the servers with the highest affinity and then random ones. */
        private int selectByLedger(
                final long prefixHash, final int affineCount, final int randomCount) {
            final int[] best = new int[affineCount];
            for (int i = 0; i < serverCount; i++) {
                loads.set(i, exactLoads[i], false);
            }
            ServerSelector.firstByAffinity(loads, prefixHash, best);
            final int[] all = Arrays.copyOf(best, affineCount + randomCount);
            for (int i = affineCount; i < all.length; i++) {
                all[i] = random.nextInt(serverCount);
            }
            return selectAmong(loads, all);
        }

        private int randomPrefix() {
            final double point = random.nextDouble() * cumulativePopularity[PREFIX_COUNT - 1];
            final int found = Arrays.binarySearch(cumulativePopularity, point);
            return Math.min(PREFIX_COUNT - 1, found < 0 ? -found - 1 : found);
        }

        private String row() {
            Arrays.sort(waitSeconds, 0, measured);
            Arrays.sort(firstTokenSeconds, 0, measured);
            return String.format(
                    "%s %d %d %.1f %.0f %.0f %.0f %.0f %.0f %.3f",
                    selection,
                    vmCount,
                    serverCount,
                    lag,
                    waitSeconds[measured / 2] * 1000,
                    waitSeconds[(int) (measured * 0.99)] * 1000,
                    firstTokenSeconds[measured / 2] * 1000,
                    firstTokenSeconds[(int) (measured * 0.95)] * 1000,
                    firstTokenSeconds[(int) (measured * 0.99)] * 1000,
                    (double) hits / measured);
        }

        private ServerSelector selector(final Selection selection) {
            return switch (selection) {
                case RANDOM -> ServerSelector.random(random.split());
                case LAGGED_LEAST, EXACT_LEAST -> ServerSelector.leastLoad(random.split());
                default -> ServerSelector.boundedAffinity(AFFINITY_BOUND);
            };
        }

        private static Map<Integer, Boolean> lruCache() {
            return new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<Integer, Boolean> eldest) {
                    return size() > CACHED_PREFIXES;
                }
            };
        }
    }

    /**
     * Selects as {@code Placement} of the router does: the first candidate with a free slot, or
     * else the one with the lowest utilisation.
     */
    private static int selectAmong(final ServerLoads loads, final int[] candidates) {
        int selected = ServerSelector.NONE;
        double minUtilisation = Double.POSITIVE_INFINITY;
        for (final int candidate : candidates) {
            if (candidate == ServerSelector.NONE || loads.isExcluded(candidate)) {
                continue;
            }
            final double utilisation = loads.utilisation(candidate);
            if (utilisation < 1) {
                return candidate;
            }
            if (utilisation < minUtilisation) {
                minUtilisation = utilisation;
                selected = candidate;
            }
        }
        return selected;
    }

    /** Returns backend servers of one model version, each with the same number of slots. */
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
