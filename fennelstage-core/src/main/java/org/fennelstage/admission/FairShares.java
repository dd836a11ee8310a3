package org.fennelstage.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.fennelstage.id.TeamId;

/**
 * Divides the capacity of a backend server between traffic classes: by priority, and within a
 * priority by max-min fairness between teams.
 *
 * <p>Laws: without shortage each class gets its demand. With shortage the shares add up to the
 * capacity; no class gets more than its demand, nor less than {@link #MIN_PART} times its demand at
 * the average rate of admission. Immutable and thread-safe.
 *
 * <pre>{@code
 * // capacity 10; urgent demand 4 of a team; two teams of the next priority ask for 2 and 8
 * // shares: urgent 4, the small team 2, the large team 4
 * }</pre>
 */
public final class FairShares {

    /**
     * Smallest rate of admission as a part of the average rate. Callers need some progress in each
     * class; 0.3 leaves room above a quarter for chance over ten seconds.
     */
    static final double MIN_PART = 0.3;

    /**
     * How much a team may take before less urgent requests of others, in multiples of what it would
     * get without priorities. A team that sends too much at an urgent priority would else take the
     * capacity of all less urgent requests; 1.5 leaves urgent requests of large teams their
     * priority.
     */
    private static final double MAX_URGENT = 1.5;

    /** Rate, or part of a demand, below which a difference is an error of the computation. */
    private static final double PRECISION = 1e-6;

    /** The demand and share of a class; requests per second. */
    private static final class Claim {
        private final TrafficClass traffic;
        private final double demand;
        private double share;

        private Claim(final TrafficClass traffic, final double demand, final double minimum) {
            this.traffic = traffic;
            this.demand = demand;
            this.share = minimum;
        }

        private double admittedPart() {
            return demand == 0 ? 1 : share / demand;
        }
    }

    /**
     * The share of a class that gets less than it asks for. Immutable.
     *
     * @param perSecond requests per second that are admitted
     * @param admittedPart the part of its requests that are admitted
     * @param protectedPart the part of the capacity that goes to classes of which a larger part is
     *     admitted; those of which only a little more is admitted count little
     */
    record Limit(double perSecond, double admittedPart, double protectedPart) {}

    private final double capacity;
    private final Map<TrafficClass, Limit> limits;

    private FairShares(final double capacity, final Map<TrafficClass, Limit> limits) {
        this.capacity = capacity;
        this.limits = limits;
    }

    /**
     * Returns the shares without shortage.
     *
     * @param capacity the requests per second that the backend server can complete, positive
     * @return shares that limit no class
     */
    public static FairShares unlimited(final double capacity) {
        return new FairShares(capacity, Map.of());
    }

    /**
     * Computes the shares.
     *
     * @param capacity the requests per second that the backend server can complete, positive
     * @param demands the requests per second of each class, not negative
     * @return the shares
     */
    public static FairShares of(final double capacity, final Map<TrafficClass, Double> demands) {
        Objects.requireNonNull(demands, "demands is null");
        final double total = sum(demands.values());
        if (total <= capacity) {
            return unlimited(capacity);
        }
        final Map<Optional<TeamId>, Double> teams = new HashMap<>();
        demands.forEach((traffic, demand) -> teams.merge(traffic.team(), demand, Double::sum));
        final double teamLevel = level(capacity, teams.values());
        final Map<Integer, List<Claim>> priorities = new TreeMap<>();
        demands.forEach(
                (traffic, demand) -> {
                    // By the average rate alone, one team's demand would lower all minimums.
                    final double teamRate = Math.min(1, teamLevel / teams.get(traffic.team()));
                    final double minimum = MIN_PART * demand * Math.max(capacity / total, teamRate);
                    priorities
                            .computeIfAbsent(traffic.priority(), p -> new ArrayList<>())
                            .add(new Claim(traffic, demand, minimum));
                });
        divide(capacity, priorities.values(), MAX_URGENT * teamLevel);
        return of(capacity, priorities.values());
    }

    private static FairShares of(final double capacity, final Collection<List<Claim>> priorities) {
        final List<Claim> all = priorities.stream().flatMap(List::stream).toList();
        final double[] shares = all.stream().mapToDouble(c -> c.share).toArray();
        final double[] parts = all.stream().mapToDouble(Claim::admittedPart).toArray();
        final Map<TrafficClass, Limit> limits = new HashMap<>();
        for (final Claim claim : all) {
            if (claim.admittedPart() < 1 - PRECISION) {
                final double admitted = claim.admittedPart();
                final double others = protectedShares(shares, parts, admitted);
                limits.put(claim.traffic, new Limit(claim.share, admitted, others / capacity));
            }
        }
        return new FairShares(capacity, Collections.unmodifiableMap(limits));
    }

    private static double protectedShares(
            final double[] shares, final double[] parts, final double admittedPart) {
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i] * Math.max(0, parts[i] - admittedPart);
        }
        return sum / (1 - admittedPart);
    }

    /** Raises the shares from the minimums until the capacity is used. */
    private static void divide(
            final double capacity,
            final Collection<List<Claim>> priorities,
            final double maxOfTeam) {
        final Map<Optional<TeamId>, Double> shares = new HashMap<>();
        double left = capacity;
        for (final List<Claim> claims : priorities) {
            for (final Claim claim : claims) {
                shares.merge(claim.traffic.team(), claim.share, Double::sum);
                left -= claim.share;
            }
        }
        for (final List<Claim> claims : priorities) {
            left -=
                    raise(
                            claims,
                            left,
                            c -> c.share + maxOfTeam - shares.get(c.traffic.team()),
                            shares);
        }
        for (final List<Claim> claims : priorities) {
            left -= raise(claims, left, c -> c.demand, shares);
        }
    }

    /**
     * Raises the shares of one priority to a common level.
     *
     * @return by how much the shares were raised in total
     */
    private static double raise(
            final List<Claim> claims,
            final double available,
            final ToDoubleFunction<Claim> bound,
            final Map<Optional<TeamId>, Double> shares) {
        if (available <= PRECISION) {
            return 0;
        }
        final double[] shared = claims.stream().mapToDouble(c -> c.share).toArray();
        final double[] bounds = new double[claims.size()];
        double high = 0;
        for (int i = 0; i < bounds.length; i++) {
            final Claim claim = claims.get(i);
            bounds[i] = Math.max(claim.share, Math.min(claim.demand, bound.applyAsDouble(claim)));
            high = Math.max(high, bounds[i]);
        }
        double level = high;
        if (raised(shared, bounds, high) > available) {
            // The total is piecewise linear in the level, with two kinds of bounds; halving is
            // exact to a millionth of a rate and needs no case for each kind of segment.
            double low = 0;
            for (int i = 0; i < 30; i++) {
                level = (low + high) / 2;
                if (raised(shared, bounds, level) <= available) {
                    low = level;
                } else {
                    high = level;
                }
            }
            level = low;
        }
        double total = 0;
        for (int i = 0; i < bounds.length; i++) {
            final Claim claim = claims.get(i);
            final double added = Math.max(0, Math.min(bounds[i], level) - claim.share);
            claim.share = added > 0 ? Math.min(bounds[i], level) : claim.share;
            shares.merge(claim.traffic.team(), added, Double::sum);
            total += added;
        }
        return total;
    }

    private static double raised(final double[] shared, final double[] bounds, final double level) {
        double total = 0;
        for (int i = 0; i < bounds.length; i++) {
            total += Math.max(0, Math.min(bounds[i], level) - shared[i]);
        }
        return total;
    }

    /** Returns the max-min fair level of demands whose sum exceeds the capacity. */
    private static double level(final double capacity, final Collection<Double> demands) {
        final double[] sorted =
                demands.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        double left = capacity;
        for (int i = 0; i < sorted.length; i++) {
            final double level = left / (sorted.length - i);
            if (sorted[i] >= level) {
                return level;
            }
            left -= sorted[i];
        }
        return Double.POSITIVE_INFINITY;
    }

    private static double sum(final Collection<Double> rates) {
        return rates.stream().mapToDouble(Double::doubleValue).sum();
    }

    /**
     * Returns the capacity that is divided.
     *
     * @return requests per second
     */
    public double capacity() {
        return capacity;
    }

    /**
     * Returns the share of a class that gets less than it asks for.
     *
     * @param traffic the class
     * @return the share; empty if the class is not limited
     */
    Optional<Limit> limit(final TrafficClass traffic) {
        return Optional.ofNullable(limits.get(traffic));
    }

    /**
     * Returns how many requests of a class are admitted.
     *
     * @param traffic the class
     * @return requests per second; infinite if the class is not limited
     */
    public double perSecond(final TrafficClass traffic) {
        return limit(traffic).map(Limit::perSecond).orElse(Double.POSITIVE_INFINITY);
    }

    @Override
    public String toString() {
        return "FairShares[capacity=" + capacity + ", limited=" + limits.keySet() + "]";
    }
}
