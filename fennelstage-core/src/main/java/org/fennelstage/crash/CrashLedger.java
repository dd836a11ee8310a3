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
 * Counts the backend servers that crashed while they had a given request, as reported by this VM
 * and its peers.
 *
 * <p>A request that crashes servers arrives with a new id each time and through any VM, so it is
 * recognised by its fingerprint. Servers also crash for other reasons, and then all requests that
 * they had are counted; a response to a request clears the crashes counted for it so far.
 *
 * <p>Invariants: the crash of an incarnation counts once for a request, however often it is
 * reported; a crash that was cleared never counts again. Reports and clearances may therefore
 * arrive in any order and more than once. Crashes older than {@link #LIFETIME_MILLIS} no longer
 * count. Not thread-safe.
 */
public final class CrashLedger {

    /**
     * Number of crashes from which a request is rejected. Lower values would reject harmless
     * requests that are retried while several servers crash for other reasons.
     */
    public static final int MAX_CRASHES = 3;

    /** How long a crash counts; milliseconds. */
    static final long LIFETIME_MILLIS = 600_000;

    private static final int MAX_REQUESTS = 2_000;

    /** When a crash was first reported or was cleared, and whether it is cleared. */
    private record Crash(long atMillis, boolean cleared) {}

    private final MonotonicClock clock;
    private final Map<Fingerprint, Map<Incarnation, Crash>> crashesByRequest =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(
                        final Map.Entry<Fingerprint, Map<Incarnation, Crash>> eldest) {
                    return size() > MAX_REQUESTS;
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
     * Records that a backend server crashed while it had a request.
     *
     * @param content the request's fingerprint
     * @param server the incarnation that crashed
     * @return the number of crashes that count against the request
     */
    public int onCrash(final Fingerprint content, final Incarnation server) {
        final Map<Incarnation, Crash> known =
                crashesByRequest.computeIfAbsent(content, c -> new HashMap<>());
        known.putIfAbsent(server, new Crash(clock.millis(), false));
        return crashes(content);
    }

    /**
     * Clears the crashes of a request, to which this VM received a response.
     *
     * @param content the request's fingerprint
     * @return the incarnations whose crashes were cleared, to be sent to the other VMs; empty if no
     *     crash counted
     */
    public Set<Incarnation> onResponse(final Fingerprint content) {
        final Map<Incarnation, Crash> known = crashesByRequest.get(content);
        if (known == null) {
            return Set.of();
        }
        final Set<Incarnation> cleared = new HashSet<>();
        known.forEach(
                (server, crash) -> {
                    if (!crash.cleared()) {
                        cleared.add(server);
                    }
                });
        clear(new ClearedCrashes(content, cleared));
        return cleared;
    }

    /**
     * Clears crashes of a request, to which a VM received a response.
     *
     * @param cleared the crashes that no longer count
     */
    public void clear(final ClearedCrashes cleared) {
        if (cleared.servers().isEmpty()) {
            return;
        }
        final Map<Incarnation, Crash> known =
                crashesByRequest.computeIfAbsent(cleared.content(), c -> new HashMap<>());
        cleared.servers().forEach(s -> known.put(s, new Crash(clock.millis(), true)));
    }

    /**
     * Returns the number of crashes that count against a request.
     *
     * @param content the request's fingerprint
     * @return the number of crashes
     */
    public int crashes(final Fingerprint content) {
        final Map<Incarnation, Crash> known = crashesByRequest.get(content);
        if (known == null) {
            return 0;
        }
        final long oldest = clock.millis() - LIFETIME_MILLIS;
        known.values().removeIf(crash -> crash.atMillis() < oldest);
        return (int) known.values().stream().filter(crash -> !crash.cleared()).count();
    }

    @Override
    public String toString() {
        return "CrashLedger[" + crashesByRequest.size() + "]";
    }
}
