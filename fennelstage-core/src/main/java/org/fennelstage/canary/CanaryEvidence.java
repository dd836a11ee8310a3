package org.fennelstage.canary;

import java.util.HashSet;
import java.util.Set;
import org.fennelstage.id.BackendServerId;

/**
 * Weighs a new version's answers against the old one's.
 *
 * <p>A cumulative sum of log likelihood ratios that never falls below zero: good answers given
 * early do not hide a version that turns bad later. Only what the workers themselves say counts, so
 * that a broken link or a killed worker does not speak against a version.
 *
 * <p>Not thread-safe.
 */
public final class CanaryEvidence {

    /**
     * Sum from which the version is bad: odds of about 400 to 1, two failures in a row where the
     * old version hardly fails. In a large fleet a VM sees few answers of the new version before
     * the whole fleet has had too many bad ones, so two must do.
     */
    private static final double BAD_SUM = 6;

    /** Workers that must have failed: one alone may be broken and its version good. */
    private static final int WORKERS_NEEDED = 2;

    /** Smallest failure share assumed of a good version. */
    private static final double LEAST_USUAL_SHARE = 0.015;

    /** What a bad version fails beyond the usual; the least that matters to callers. */
    private static final double BAD_EXCESS = 0.3;

    /** Weight of one answer of the old version in its failure share. */
    private static final double OLD_WEIGHT = 0.02;

    /** An answer this many times slower than the old version's usual pace counts as bad. */
    private static final double SLOW_FACTOR = 3.5;

    /** Answers of the old version before its pace is taken as known. */
    private static final int PACES_NEEDED = 10;

    private double oldFailures;
    private double oldPaceMillis;
    private int oldPaces;
    private double sum;
    private int newAnswers;
    private int newBad;
    private final Set<BackendServerId> badWorkers = new HashSet<>();

    /**
     * Notes an answer of the old version.
     *
     * @param failed whether its worker said that it failed
     * @param paceMillis the time per event, or for the whole answer; not positive if not known
     */
    public void onOld(final boolean failed, final double paceMillis) {
        oldFailures += OLD_WEIGHT * ((failed ? 1 : 0) - oldFailures);
        if (!failed && paceMillis > 0) {
            oldPaces++;
            final double weight = Math.max(1.0 / oldPaces, OLD_WEIGHT);
            oldPaceMillis += weight * (paceMillis - oldPaceMillis);
        }
    }

    /**
     * Notes an answer of the new version.
     *
     * @param server the worker
     * @param failed whether its worker said that it failed
     * @param paceMillis as for the old version
     */
    public void onNew(final BackendServerId server, final boolean failed, final double paceMillis) {
        final boolean slow = oldPaces >= PACES_NEEDED && paceMillis > SLOW_FACTOR * oldPaceMillis;
        final boolean isBad = failed || slow;
        final double usual = Math.max(LEAST_USUAL_SHARE, 1.5 * oldFailures);
        final double bad = Math.min(0.95, usual + BAD_EXCESS);
        final double ratio = isBad ? bad / usual : (1 - bad) / (1 - usual);
        sum = Math.max(0, sum + Math.log(ratio));
        newAnswers++;
        if (isBad) {
            newBad++;
            badWorkers.add(server);
        }
    }

    /**
     * Tells whether the version is found bad.
     *
     * @return true once; it stays true until a good run outweighs it
     */
    public boolean bad() {
        return sum >= BAD_SUM && badWorkers.size() >= WORKERS_NEEDED;
    }

    @Override
    public String toString() {
        return "answers=" + newAnswers + " bad=" + newBad + " sum=" + Math.round(sum * 10) / 10.0;
    }
}
