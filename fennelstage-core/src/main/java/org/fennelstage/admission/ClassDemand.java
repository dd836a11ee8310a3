package org.fennelstage.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The recent requests for permits for one backend server by traffic class, denied and repeated ones
 * included.
 *
 * <p>Invariant: at most {@link #MAX_CLASSES} classes are kept, and one without team for the rest of
 * each priority. Not thread-safe.
 */
final class ClassDemand {

    /** More than 24 teams with two priorities each; the state stays below 10 kB for a server. */
    static final int MAX_CLASSES = 64;

    /** How long a class without requests is remembered; milliseconds. */
    static final long MEMORY_MILLIS = 10_000;

    /**
     * Time constant of the decay; milliseconds. A team with six requests a second is counted with
     * twelve samples, and a team that begins to send more is noticed within about a second.
     */
    private static final double DECAY_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final class Weight {
        private double weight;
        private long atMillis;

        private void decay(final long nowMillis) {
            weight *= Math.exp((atMillis - nowMillis) / DECAY_MILLIS);
            atMillis = nowMillis;
        }
    }

    private final Map<TrafficClass, Weight> weights = new HashMap<>();
    private long startMillis;

    /**
     * Counts a request.
     *
     * @return the class as which it counts
     */
    TrafficClass onRequest(final TrafficClass traffic, final long nowMillis) {
        if (weights.isEmpty()) {
            startMillis = nowMillis;
        }
        final TrafficClass counted = counted(traffic);
        final Weight weight = weights.computeIfAbsent(counted, t -> new Weight());
        weight.decay(nowMillis);
        weight.weight++;
        return counted;
    }

    private TrafficClass counted(final TrafficClass traffic) {
        if (traffic.equals(TrafficClass.UNKNOWN)) {
            return leastUrgent();
        }
        final boolean isKept = weights.containsKey(traffic) || weights.size() < MAX_CLASSES;
        return isKept ? traffic : new TrafficClass(traffic.priority(), Optional.empty());
    }

    /** Returns the class without team of the least urgent priority that is known. */
    private TrafficClass leastUrgent() {
        final int priority =
                weights.keySet().stream()
                        .mapToInt(TrafficClass::priority)
                        .filter(p -> p < TrafficClass.LEAST_URGENT)
                        .max()
                        .orElse(TrafficClass.LEAST_URGENT);
        return new TrafficClass(priority, Optional.empty());
    }

    /** Returns the standard deviation of a measured rate if requests arrive independently. */
    static double deviation(final double perSecond) {
        return Math.sqrt(perSecond * MILLIS_PER_SECOND / (2 * DECAY_MILLIS));
    }

    /** Returns how long requests have been counted; milliseconds. */
    long ageMillis(final long nowMillis) {
        return nowMillis - startMillis;
    }

    /** Returns the requests per second of each class, and forgets classes without requests. */
    Map<TrafficClass, Double> perSecond(final long nowMillis) {
        weights.values().removeIf(w -> w.atMillis < nowMillis - MEMORY_MILLIS);
        // The weights of a constant rate have grown to this part of their final sum.
        final double grown = 1 - Math.exp(-ageMillis(nowMillis) / DECAY_MILLIS);
        final double seconds = DECAY_MILLIS / MILLIS_PER_SECOND * grown;
        final Map<TrafficClass, Double> rates = new HashMap<>();
        weights.forEach(
                (traffic, weight) -> {
                    final double decayed =
                            weight.weight * Math.exp((weight.atMillis - nowMillis) / DECAY_MILLIS);
                    rates.put(traffic, decayed / seconds);
                });
        return rates;
    }

    @Override
    public String toString() {
        return "ClassDemand" + weights.keySet();
    }
}
