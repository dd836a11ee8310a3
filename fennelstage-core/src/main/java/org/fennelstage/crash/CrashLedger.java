package org.fennelstage.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.time.MonotonicClock;

/**
 * Finds what makes backend servers crash, from the requests that the servers had when they crashed,
 * as reported by this VM and its peers.
 *
 * <p>A request that crashes servers arrives with a new id each time and through any VM. It is
 * recognised by its content, or, if its content differs each time, by a part of its prompt that it
 * shares with the others. Most requests that a crashed server had did not cause the crash:
 *
 * <ul>
 *   <li>A complete response to a request with a content or part clears it of the crashes so far.
 *   <li>A part has to be present at the crashes of several different requests. One sound request
 *       that is retried beside the cause is not enough.
 *   <li>A part is not taken for the cause while a later part of the prompt, which fewer requests
 *       share, or parts with more crashes explain its crashes.
 *   <li>Crashes at which a known cause was present do not count against a content, nor against an
 *       earlier part or one with no more crashes than the cause.
 * </ul>
 *
 * <p>Invariants: the crash of an incarnation counts once for a content or part, however often it is
 * reported; a crash that was cleared never counts again. Reports and clearances may therefore
 * arrive in any order and more than once. Crashes older than {@link #LIFETIME_MILLIS} no longer
 * count. Not thread-safe.
 */
public final class CrashLedger {

    /**
     * Number of crashes from which a content is a cause. Lower values would reject harmless
     * requests that are retried while several servers crash for other reasons.
     */
    public static final int MAX_CRASHES = 3;

    /** Number of crashes from which a part, which many requests may share, is a cause. */
    static final int MAX_PART_CRASHES = 5;

    /** Number of these crashes at which no known cause was present. */
    static final int MIN_UNEXPLAINED = 3;

    /** Number of different requests with a part that must have been hit by these crashes. */
    static final int MIN_REQUESTS = 2;

    /**
     * Number of crashes of a part that a later part need not explain to be preferred, since a
     * server may also have crashed for another reason.
     */
    private static final int UNRELATED_CRASHES = 1;

    /** How long a crash counts; milliseconds. */
    static final long LIFETIME_MILLIS = 600_000;

    private static final int MAX_SUSPECTS = 4_000;

    private final MonotonicClock clock;
    private final Set<Fingerprint> causes = new HashSet<>();
    private final Map<Fingerprint, Suspect> suspects =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<Fingerprint, Suspect> eldest) {
                    return size() > MAX_SUSPECTS;
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
     * Records a crash of a backend server.
     *
     * @param report the crash and the requests that the server had
     * @return the contents and parts that are causes from now on
     */
    public Set<Fingerprint> onCrash(final CrashReport report) {
        final Set<Fingerprint> reported = new LinkedHashSet<>();
        for (final RequestFingerprints request : report.requests()) {
            record(request.content(), report.server(), Suspect.CONTENT, request);
            for (int i = 0; i < request.parts().size(); i++) {
                record(request.parts().get(i), report.server(), i, request);
            }
            request.all().forEach(reported::add);
        }
        final Set<Fingerprint> found = new LinkedHashSet<>();
        for (final Fingerprint suspect : likeliestFirst(reported)) {
            if (isNewCause(suspect)) {
                causes.add(suspect);
                found.add(suspect);
            }
        }
        return found;
    }

    /**
     * Returns whether all of a report is recorded already.
     *
     * @param report the report
     * @return true if {@link #onCrash} would change nothing
     */
    public boolean contains(final CrashReport report) {
        return report.requests().stream()
                .allMatch(request -> request.all().allMatch(f -> contains(f, report, request)));
    }

    private boolean contains(
            final Fingerprint fingerprint,
            final CrashReport report,
            final RequestFingerprints request) {
        final Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.contains(report.server(), request.content());
    }

    private void record(
            final Fingerprint fingerprint,
            final Incarnation server,
            final int position,
            final RequestFingerprints request) {
        suspect(fingerprint).add(server, position, request.content(), clock.millis());
    }

    private Suspect suspect(final Fingerprint fingerprint) {
        return suspects.computeIfAbsent(fingerprint, f -> new Suspect());
    }

    private List<Fingerprint> likeliestFirst(final Set<Fingerprint> fingerprints) {
        final List<Fingerprint> ordered = new ArrayList<>(fingerprints);
        ordered.sort(
                Comparator.<Fingerprint>comparingInt(this::crashes)
                        .thenComparingInt(f -> suspect(f).position())
                        .reversed());
        return ordered;
    }

    private boolean isNewCause(final Fingerprint fingerprint) {
        if (causes.contains(fingerprint)) {
            return false;
        }
        final Suspect suspect = suspect(fingerprint);
        if (!suspect.isPart()) {
            return crashes(fingerprint) >= MAX_CRASHES;
        }
        final int count = suspect.count();
        if (count < MAX_PART_CRASHES) {
            return false;
        }
        final Set<Incarnation> servers =
                unexplained(suspect, cause -> isLater(cause, suspect) || cause.count() >= count);
        return servers.size() >= MIN_UNEXPLAINED
                && suspect.requests(servers) >= MIN_REQUESTS
                && !laterPartExplains(suspect, servers)
                && !isOutranked(suspect, servers);
    }

    /** Returns whether a part comes later in prompts than another one. */
    private static boolean isLater(final Suspect part, final Suspect other) {
        return part.position() > other.position();
    }

    /** Returns whether a part that comes later in prompts was present at nearly all crashes. */
    private boolean laterPartExplains(final Suspect part, final Set<Incarnation> servers) {
        return suspects.values().stream()
                .filter(other -> isLater(other, part))
                .anyMatch(
                        other ->
                                servers.stream().filter(other::wasAt).count()
                                        >= servers.size() - UNRELATED_CRASHES);
    }

    /** Returns whether parts with more crashes were present at too many of these crashes. */
    private boolean isOutranked(final Suspect part, final Set<Incarnation> servers) {
        final int count = part.count();
        final List<Suspect> likelier =
                suspects.values().stream()
                        .filter(other -> !isLater(part, other) && other.count() > count)
                        .toList();
        final long remaining =
                servers.stream()
                        .filter(server -> likelier.stream().noneMatch(s -> s.wasAt(server)))
                        .count();
        return remaining < MIN_UNEXPLAINED;
    }

    /**
     * Returns the crashes that count and at which no known cause was present that explains them.
     */
    private Set<Incarnation> unexplained(
            final Suspect suspect, final Predicate<Suspect> explainsCrashes) {
        final Set<Incarnation> servers = suspect.servers();
        causes.stream()
                .map(suspects::get)
                .filter(cause -> cause != null && cause != suspect && cause.isPart())
                .filter(explainsCrashes)
                .forEach(cause -> servers.removeIf(cause::wasAt));
        return servers;
    }

    /**
     * Clears the crashes of a request, to which this VM received a complete response.
     *
     * @param request the request's fingerprints
     * @return the crashes that were cleared, to be sent to the other VMs; empty if none counted
     */
    public List<ClearedCrashes> onResponse(final RequestFingerprints request) {
        final List<ClearedCrashes> cleared = new ArrayList<>();
        request.all()
                .filter(suspects::containsKey)
                .map(f -> new ClearedCrashes(f, suspects.get(f).servers()))
                .filter(c -> !c.servers().isEmpty())
                .forEach(cleared::add);
        cleared.forEach(this::clear);
        return cleared;
    }

    /**
     * Clears crashes of a content or part, since a VM received a complete response with it.
     *
     * @param cleared the crashes that no longer count
     */
    public void clear(final ClearedCrashes cleared) {
        causes.remove(cleared.suspect());
        if (!cleared.servers().isEmpty()) {
            suspect(cleared.suspect()).clear(cleared.servers(), clock.millis());
        }
    }

    /**
     * Records a cause that another VM found.
     *
     * @param fingerprint the content or part
     */
    public void addCause(final Fingerprint fingerprint) {
        causes.add(fingerprint);
    }

    /**
     * Clears all crashes of a content or part that is no longer a cause.
     *
     * @param fingerprint the content or part
     */
    public void removeCause(final Fingerprint fingerprint) {
        final Suspect suspect = suspects.get(fingerprint);
        clear(new ClearedCrashes(fingerprint, suspect == null ? Set.of() : suspect.servers()));
    }

    /**
     * Returns the contents and parts that were taken for causes, and whose crashes are all
     * explained by parts that were found since.
     *
     * @return their fingerprints
     */
    public List<Fingerprint> explainedCauses() {
        return causes.stream().filter(this::isExplained).toList();
    }

    private boolean isExplained(final Fingerprint fingerprint) {
        final Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.count() == 0) {
            return false;
        }
        final int count = suspect.count();
        return unexplained(suspect, cause -> isLater(cause, suspect) || cause.count() > count)
                .isEmpty();
    }

    /**
     * Returns the number of crashes that count against a content or part.
     *
     * @param fingerprint the content or part
     * @return the number of crashes
     */
    public int crashes(final Fingerprint fingerprint) {
        final Suspect suspect = suspects.get(fingerprint);
        if (suspect == null) {
            return 0;
        }
        suspect.removeOlderThan(clock.millis() - LIFETIME_MILLIS);
        return unexplained(suspect, cause -> true).size();
    }

    @Override
    public String toString() {
        return "CrashLedger[" + suspects.size() + "]";
    }
}
