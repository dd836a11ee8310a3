package org.fennelstage.sizing;

import java.util.HashMap;
import java.util.Map;
import org.fennelstage.id.ModelId;

/**
 * What models' opinions of their answers tell of larger models' chances with the same request.
 *
 * <p>A model says from 0 to 100 what it thinks of its answer; at 50 it is as likely good as not.
 * The same request put to a larger model raises the opinion by about the same amount whatever the
 * request, which is learnt from requests that both were asked. So a small model that nearly
 * believes in its answer tells that the next larger one will do, and one that does not believe in
 * it at all that only the largest may.
 *
 * <p>Law: the chance never falls as the opinion rises. Not thread-safe.
 */
public final class ConfidenceGains {

    /** Opinion at which an answer is as likely good as not. */
    static final int EVEN = 50;

    /** The highest opinion; it and zero are cut off, so they tell nothing of the difference. */
    private static final int HIGHEST = 100;

    /** Gain of a larger model before any request was put to both; points. */
    private static final double FIRST_GAIN = 15;

    /** Spread of the gain before it is known; points. */
    private static final double FIRST_SPREAD = 12;

    /** Weight of one request in gain and spread; about the last forty count. */
    private static final double WEIGHT = 0.025;

    /** The spread is never taken for less, so that a few like results do not make it certain. */
    private static final double LEAST_SPREAD = 4;

    private record Pair(ModelId smaller, ModelId larger) {}

    private static final class Gain {
        private double mean = FIRST_GAIN;
        private double spread = FIRST_SPREAD;

        private void add(final double observed) {
            spread += WEIGHT * (Math.abs(observed - mean) - spread);
            mean += WEIGHT * (observed - mean);
        }
    }

    private final Map<Pair, Gain> gains = new HashMap<>();

    private ConfidenceGains() {}

    /**
     * Returns opinions of which nothing was learnt.
     *
     * @return the opinions
     */
    public static ConfidenceGains empty() {
        return new ConfidenceGains();
    }

    /**
     * Notes what two models think of their answers to one request.
     *
     * @param smaller the smaller model
     * @param opinion its opinion, 0 to 100
     * @param larger the larger model
     * @param then its opinion, 0 to 100
     */
    public void observe(
            final ModelId smaller, final int opinion, final ModelId larger, final int then) {
        if (isCutOff(opinion) || isCutOff(then)) {
            return;
        }
        gain(smaller, larger).add(then - opinion);
    }

    /**
     * Returns how likely a larger model's answer is good enough.
     *
     * @param smaller the model that answered
     * @param opinion its opinion, 0 to 100
     * @param larger the model that may be asked
     * @return a number in [0, 1]
     */
    public double chance(final ModelId smaller, final int opinion, final ModelId larger) {
        final Gain gain = gain(smaller, larger);
        final double above = opinion + gain.mean - EVEN;
        // The logistic curve, close to that of normal errors with the same mean deviation.
        return 1 / (1 + Math.exp(-2 * above / Math.max(LEAST_SPREAD, gain.spread)));
    }

    private Gain gain(final ModelId smaller, final ModelId larger) {
        return gains.computeIfAbsent(new Pair(smaller, larger), p -> new Gain());
    }

    private static boolean isCutOff(final int opinion) {
        return opinion <= 0 || opinion >= HIGHEST;
    }

    @Override
    public String toString() {
        return "ConfidenceGains[" + gains.size() + "]";
    }
}
