package org.fennelstage.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;

/**
 * Finds backend servers that fail more often than another one of their service and version, by the
 * responses to all VMs.
 *
 * <p>In a large fleet a VM sends to each backend server so rarely that its own evidence has decayed
 * before it suffices. Servers that fail alike are no outliers, since requests would fail at each.
 *
 * <p>An outlier gets few requests, so its evidence decays. Each VM then uses it again at a random
 * moment, and the outcomes of the first ones reach the others before most of them do.
 *
 * <p>Invariants: the failures that one VM reports make no outlier for others, however many they
 * are; without reports of other VMs there are no outliers. Not thread-safe.
 */
public final class OutlierDetection {

    /** Excess failures that a VM reports of one backend server at most. */
    static final double MAX_REPORTED_EXCESS = 2;

    /**
     * Responses without excess failures that are assumed of each backend server, so that {@link
     * #MAX_REPORTED_EXCESS} failures alone make no outlier.
     */
    private static final double PRIOR_RESPONSES = 5;

    /** Responses from which on the failure rate of a backend server is compared with. */
    private static final double MIN_RESPONSES = 5;

    /**
     * Excess failures below which no backend server is an outlier, however few its responses are;
     * slightly less, so that rounding hides none.
     */
    private static final double MIN_EXCESS = ServerHealth.SUSPECT_RATE * PRIOR_RESPONSES - 1e-6;

    /**
     * A backend server that began or ceased to be an outlier for this VM.
     *
     * @param server the backend server
     * @param outlier whether it is one
     * @param outcomes its responses to all VMs
     * @param lowestRate the lowest excess failure rate in its service and version, 1 if none is
     *     known
     */
    public record Change(
            TrackedServer server, boolean outlier, Outcomes outcomes, double lowestRate) {}

    private record Group(ServiceName service, String version) {}

    private final LoadBoard board;
    private final DoubleSupplier random;
    private final Set<TrackedServer> outliers = new HashSet<>();

    private OutlierDetection(final LoadBoard board, final DoubleSupplier random) {
        this.board = board;
        this.random = random;
    }

    /**
     * Returns a detection that has found none.
     *
     * @param board what the other VMs report
     * @param random returns random numbers in [0, 1) that spread the end of the exclusion over the
     *     VMs
     * @return the detection
     */
    public static OutlierDetection of(final LoadBoard board, final DoubleSupplier random) {
        return new OutlierDetection(
                Objects.requireNonNull(board, "board is null"),
                Objects.requireNonNull(random, "random is null"));
    }

    /**
     * Compares the backend servers. To be called several times a second.
     *
     * @param servers all backend servers
     * @return what has changed
     */
    public List<Change> update(final Collection<TrackedServer> servers) {
        if (outliers.isEmpty() && !mayFindOutlier(servers)) {
            return List.of();
        }
        final Map<BackendServerId, Load> others = board.sums();
        final Map<Group, Map<TrackedServer, Outcomes>> groups = new HashMap<>();
        for (final TrackedServer server : servers) {
            final ServerEntry entry = server.entry();
            if (!entry.draining()) {
                groups.computeIfAbsent(
                                new Group(entry.service(), entry.version()), g -> new HashMap<>())
                        .put(server, others.getOrDefault(entry.id(), Load.NONE).outcomes());
            }
        }
        outliers.retainAll(servers);
        final List<Change> changes = new ArrayList<>();
        groups.values().forEach(group -> compare(group, changes));
        return changes;
    }

    /**
     * Returns whether a comparison could find an outlier. Without this check, which needs no sums,
     * the comparison is a large part of the processor time of an idle VM.
     */
    private boolean mayFindOutlier(final Collection<TrackedServer> servers) {
        double ownExcess = 0;
        for (final TrackedServer server : servers) {
            ownExcess = Math.max(ownExcess, server.health().excessAtLastEnd());
        }
        return board.maxExcess() + ownExcess >= MIN_EXCESS;
    }

    private void compare(final Map<TrackedServer, Outcomes> group, final List<Change> changes) {
        final boolean reported = group.values().stream().anyMatch(o -> o.responses() > 0);
        group.replaceAll((server, others) -> pooled(server, others));
        final double lowestRate = lowestRate(group.values());
        group.forEach(
                (server, outcomes) -> {
                    if (reported && failsMore(outcomes, lowestRate)) {
                        server.health().onOutlier(random.getAsDouble());
                        updateRate(server, outcomes);
                    }
                    final boolean outlier = server.health().isOutlier();
                    if (outlier ? outliers.add(server) : outliers.remove(server)) {
                        changes.add(new Change(server, outlier, outcomes, lowestRate));
                    }
                });
    }

    /** Outcomes that others report of another incarnation say nothing about this one. */
    private static Outcomes pooled(final TrackedServer server, final Outcomes others) {
        final Outcomes own = server.outcomes();
        return others.startMillis() == own.startMillis() ? own.plus(others) : own;
    }

    private static boolean failsMore(final Outcomes outcomes, final double lowestRate) {
        final double excess = outcomes.excess() - outcomes.responses() * lowestRate;
        return cautiousRate(excess, outcomes.responses()) >= ServerHealth.SUSPECT_RATE;
    }

    /**
     * Updates the failure rate of an outlier. Few responses change nothing, since an outlier gets
     * few requests and its evidence thins out.
     */
    private static void updateRate(final TrackedServer server, final Outcomes outcomes) {
        if (outcomes.responses() >= MIN_RESPONSES) {
            server.health().onOutlierRate(cautiousRate(outcomes.excess(), outcomes.responses()));
        }
    }

    /** Returns the excess failure rate with {@link #PRIOR_RESPONSES} responses without excess. */
    private static double cautiousRate(final double excess, final double responses) {
        return excess / (responses + PRIOR_RESPONSES);
    }

    /** Returns the lowest excess failure rate; 1, which nothing exceeds, if none is known. */
    private static double lowestRate(final Collection<Outcomes> group) {
        final double lowest =
                group.stream()
                        .filter(outcomes -> outcomes.responses() >= MIN_RESPONSES)
                        .mapToDouble(Outcomes::excessRate)
                        .min()
                        .orElse(1);
        return Math.max(0, lowest);
    }

    @Override
    public String toString() {
        return "OutlierDetection" + outliers;
    }
}
