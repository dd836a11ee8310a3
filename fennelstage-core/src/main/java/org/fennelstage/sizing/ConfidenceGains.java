package org.fennelstage.sizing;

import java.util.HashMap;
import java.util.Map;
import org.fennelstage.id.ModelId;

/**
 * Learns how much the confidence in an answer rises from a smaller to a larger model, and predicts
 * from it whether the larger model's answer will be good enough.
 *
 * <p>A model reports its confidence in an answer from 0 to 100; at {@link #EVEN} the answer is good
 * enough with probability one half. The gain of a larger model varies little between requests, so
 * its mean and spread are estimated from requests that both models answered.
 *
 * <p>Invariant: the probability never falls as the confidence rises. Not thread-safe.
 */
public final class ConfidenceGains {

    /** Confidence at which an answer is good enough with probability one half. */
    static final int EVEN = 50;

    /** Upper end of the scale. Values at both ends are clipped and say nothing about the gain. */
    private static final int MAX_CONFIDENCE = 100;

    /** Initial estimate of the gain; points. */
    private static final double INITIAL_GAIN = 15;

    /** Initial estimate of the spread of the gain; points. */
    private static final double INITIAL_SPREAD = 12;

    /** Weight of one request in the moving averages, about the last forty requests. */
    private static final double WEIGHT = 0.025;

    /** Lower bound of the spread, so that a few similar results do not make it certain; points. */
    private static final double MIN_SPREAD = 4;

    private record Pair(ModelId smaller, ModelId larger) {}

    private static final class Gain {
        private double mean = INITIAL_GAIN;
        private double spread = INITIAL_SPREAD;

        private void add(final double observed) {
            spread += WEIGHT * (Math.abs(observed - mean) - spread);
            mean += WEIGHT * (observed - mean);
        }
    }

    private final Map<Pair, Gain> gains = new HashMap<>();

    private ConfidenceGains() {}

    /**
     * Returns the initial estimates.
     *
     * @return the gains
     */
    public static ConfidenceGains empty() {
        return new ConfidenceGains();
    }

    /**
     * Records the confidence of two models in their answers to the same request.
     *
     * @param smaller the smaller model
     * @param confidence its confidence, 0 to 100
     * @param larger the larger model
     * @param largerConfidence the confidence of the larger model, 0 to 100
     */
    public void observe(
            final ModelId smaller,
            final int confidence,
            final ModelId larger,
            final int largerConfidence) {
        if (isClipped(confidence) || isClipped(largerConfidence)) {
            return;
        }
        gain(smaller, larger).add(largerConfidence - confidence);
    }

    /**
     * Returns the probability that a larger model's answer is good enough.
     *
     * @param smaller the model that answered
     * @param confidence its confidence, 0 to 100
     * @param larger the larger model
     * @return the probability, in [0, 1]
     */
    public double probabilityGoodEnough(
            final ModelId smaller, final int confidence, final ModelId larger) {
        final Gain gain = gain(smaller, larger);
        final double above = confidence + gain.mean - EVEN;
        // Logistic approximation of a normal distribution with the same mean deviation.
        return 1 / (1 + Math.exp(-2 * above / Math.max(MIN_SPREAD, gain.spread)));
    }

    private Gain gain(final ModelId smaller, final ModelId larger) {
        return gains.computeIfAbsent(new Pair(smaller, larger), p -> new Gain());
    }

    private static boolean isClipped(final int confidence) {
        return confidence <= 0 || confidence >= MAX_CONFIDENCE;
    }

    @Override
    public String toString() {
        return "ConfidenceGains[" + gains.size() + "]";
    }
}
