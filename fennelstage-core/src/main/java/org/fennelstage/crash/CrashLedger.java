package org.fennelstage.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.time.MonotonicClock;

/**
 * How many workers ended under each request, as far as this VM and those that tell it know.
 *
 * <p>A request that ends its workers is sound in every other respect: it has a new id each time, a
 * known caller and a route, and comes through any VM. What gives it away is that workers end under
 * it and that it is never answered. Workers also end for other reasons, and all requests that they
 * have then look alike; one that is answered later is cleared of the ends before.
 *
 * <p>Laws: each end of a worker counts once for a request, however often it is reported; an end
 * that was cleared never counts again; so the order in which reports and acquittals arrive, and
 * those that arrive twice, make no difference. What is older than {@link #LIFETIME_MILLIS} counts
 * no longer. Not thread-safe.
 */
public final class CrashLedger {

    /**
     * Workers that may end under a request before it is refused. Two may be bad luck: in a wave of
     * crashes some requests are sent from one worker that ends to another.
     */
    public static final int MAX_CRASHES = 3;

    /** How long an end is remembered; milliseconds. */
    static final long LIFETIME_MILLIS = 600_000;

    /** Requests remembered; only those whose worker ended get here. */
    private static final int MOST_KEPT = 2_000;

    /** When an end was heard of, and whether it counts. */
    private record Mark(long atMillis, boolean cleared) {}

    private final MonotonicClock clock;
    private final Map<Fingerprint, Map<Incarnation, Mark>> marks =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(
                        final Map.Entry<Fingerprint, Map<Incarnation, Mark>> eldest) {
                    return size() > MOST_KEPT;
                }
            };

    private CrashLedger(final MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns a ledger without entries.
     *
     * @param clock the clock
     * @return the ledger
     */
    public static CrashLedger of(final MonotonicClock clock) {
        return new CrashLedger(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Notes that a worker ended under a request.
     *
     * @param content the request
     * @param server the worker, and which of its lives ended
     * @return how many workers have ended under the request
     */
    public int onCrash(final Fingerprint content, final Incarnation server) {
        final Map<Incarnation, Mark> known = marks.computeIfAbsent(content, c -> new HashMap<>());
        known.putIfAbsent(server, new Mark(clock.millis(), false));
        return crashes(content);
    }

    /**
     * Notes that a request was answered at this VM.
     *
     * @param content the request
     * @return the ends that are cleared by it, for the other VMs; none if none counted
     */
    public Set<Incarnation> onResponse(final Fingerprint content) {
        final Map<Incarnation, Mark> known = marks.get(content);
        if (known == null) {
            return Set.of();
        }
        final Set<Incarnation> cleared = new HashSet<>();
        known.forEach(
                (server, mark) -> {
                    if (!mark.cleared()) {
                        cleared.add(server);
                    }
                });
        clear(new ClearedCrashes(content, cleared));
        return cleared;
    }

    /**
     * Takes the word of a VM at which the request was answered.
     *
     * @param acquittal which ends count no longer
     */
    public void clear(final ClearedCrashes acquittal) {
        if (acquittal.servers().isEmpty()) {
            return;
        }
        final Map<Incarnation, Mark> known =
                marks.computeIfAbsent(acquittal.content(), c -> new HashMap<>());
        acquittal.servers().forEach(s -> known.put(s, new Mark(clock.millis(), true)));
    }

    /**
     * Returns how many workers have ended under a request.
     *
     * @param content the request
     * @return the count
     */
    public int crashes(final Fingerprint content) {
        final Map<Incarnation, Mark> known = marks.get(content);
        if (known == null) {
            return 0;
        }
        final long oldest = clock.millis() - LIFETIME_MILLIS;
        known.values().removeIf(mark -> mark.atMillis() < oldest);
        return (int) known.values().stream().filter(mark -> !mark.cleared()).count();
    }

    @Override
    public String toString() {
        return "CrashLedger[" + marks.size() + "]";
    }
}
