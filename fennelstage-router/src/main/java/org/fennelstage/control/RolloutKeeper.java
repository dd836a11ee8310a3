package org.fennelstage.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.objects.ReadResult;
import org.fennelstage.objects.WriteResult;
import org.fennelstage.rollout.DriftDetector;
import org.fennelstage.rollout.Evidence;
import org.fennelstage.rollout.ExposurePolicy;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.RolloutProgress;
import org.fennelstage.rollout.Signal;

/**
 * Runs one rollout for one data centre: adds up the evidence of its VMs, reserves exposures for the
 * data centre in the progress object, and grants them to VMs one request at a time.
 *
 * <p>Invariants: no more exposures are granted than the progress object reserves for this data
 * centre; while the store is unavailable only the rest of that reservation is granted; a halt that
 * follows from the evidence is reported even if it cannot be written. Thread-safe; one monitor
 * guards all state.
 */
public final class RolloutKeeper {

    /** Time within which all VMs have reported to a VM that becomes the keeper. */
    private static final Duration TAKEOVER_PERIOD = Duration.ofSeconds(3);

    /** Time after which a granted exposure that was not reported counts as unused. */
    private static final Duration GRANT_EXPIRY = Duration.ofSeconds(5);

    private static final int MIN_RESERVATION = 5;

    private final Rollout rollout;
    private final DataCentreId dataCentre;
    private final ObjectStore store;
    private final InstantSource clock;
    private final ExposurePolicy policy;
    private final double ratedShare;
    private final long startedMillis;
    private final Map<String, Evidence> evidenceBySource = new HashMap<>();
    private final Deque<Long> grantedAtMillis = new ArrayDeque<>();
    private RolloutProgress progress = RolloutProgress.begin();
    private Revision revision = Revision.NONE;
    private Optional<Signal> externalHalt = Optional.empty();
    private Optional<DriftDetector> drift = Optional.empty();
    private boolean isLoaded;
    private boolean busy;

    /**
     * Creates a keeper that has not read the progress object yet.
     *
     * @param rollout the rollout
     * @param dataCentre the data centre of the keeper
     * @param store the store
     * @param clock the clock
     * @param policy limits the exposures of the new version
     * @param ratedShare the share of answers that are rated, in (0, 1]
     */
    public RolloutKeeper(
            final Rollout rollout,
            final DataCentreId dataCentre,
            final ObjectStore store,
            final InstantSource clock,
            final ExposurePolicy policy,
            final double ratedShare) {
        this.rollout = Objects.requireNonNull(rollout, "rollout is null");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.policy = Objects.requireNonNull(policy, "policy is null");
        this.ratedShare = ratedShare;
        this.startedMillis = clock.millis();
    }

    /**
     * Records the cumulative evidence of one incarnation of a VM.
     *
     * @param source the VM and its incarnation
     * @param totals the cumulative evidence
     */
    public synchronized void report(final String source, final Evidence totals) {
        evidenceBySource.merge(source, totals, Evidence::max);
    }

    /**
     * Grants one exposure if one is left.
     *
     * @return the grant and the state of the rollout
     */
    public synchronized ExposureReply requestExposure() {
        final RolloutProgress current = computeProgress();
        final boolean isTakeoverComplete =
                clock.millis() - startedMillis >= TAKEOVER_PERIOD.toMillis();
        final boolean isGranted =
                isTakeoverComplete
                        && isLoaded
                        && current.halted().isEmpty()
                        && !current.done()
                        && usedExposures() < progress.granted(dataCentre);
        if (isGranted) {
            grantedAtMillis.add(clock.millis());
        }
        return new ExposureReply(
                isGranted, current.step(), current.halted().isPresent(), current.done());
    }

    /**
     * Returns the progress computed from all known evidence, whether written to the store or not.
     *
     * @return the progress
     */
    public synchronized RolloutProgress computeProgress() {
        final RolloutProgress current =
                progress.report(dataCentre, totalEvidence(), rollout, policy, ratedShare);
        return externalHalt.map(current::halt).orElse(current);
    }

    /**
     * Checks whether the new version degrades after its rollout is done; called about once a
     * second. Uses only the evidence of this data centre and does not depend on the store.
     */
    public synchronized void detectDrift() {
        if (!progress.done() || clock.millis() - startedMillis < TAKEOVER_PERIOD.toMillis()) {
            return;
        }
        if (drift.isEmpty()) {
            drift =
                    Optional.of(
                            DriftDetector.of(
                                    rollout.tolerance(),
                                    DriftDetector.DEFAULT_ALPHA,
                                    totalEvidence()));
            return;
        }
        drift.get().update(totalEvidence()).ifPresent(this::halt);
    }

    /** Records a halt that was found elsewhere. */
    synchronized void halt(final Signal signal) {
        externalHalt = Optional.of(signal);
    }

    /** Reads the progress object and writes new progress; called about once a second. */
    public void synchronizeProgress() {
        synchronized (this) {
            if (busy) {
                return;
            }
            busy = true;
        }
        store.read(Keys.rollout(rollout.id()), CallPriority.NORMAL)
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found
                                    && applyStored(found.object())) {
                                write();
                            } else {
                                clearBusy();
                            }
                        });
    }

    private void write() {
        final RolloutProgress next;
        final Revision expected;
        synchronized (this) {
            final RolloutProgress current = computeProgress();
            final long remaining = current.granted(dataCentre) - usedExposures();
            final long target = Math.max(MIN_RESERVATION, 2L * recentlyGranted());
            next =
                    remaining >= target
                            ? current
                            : current.grant(dataCentre, target, policy, ratedShare);
            expected = revision;
            if (next.equals(progress)) {
                busy = false;
                return;
            }
        }
        store.write(Keys.rollout(rollout.id()), expected, Json.write(next), CallPriority.NORMAL)
                .thenAccept(
                        result -> {
                            if (result instanceof WriteResult.Written written) {
                                setProgress(next, written.revision());
                            } else if (result instanceof WriteResult.Conflict conflict) {
                                applyStored(conflict.current());
                            }
                            clearBusy();
                        });
    }

    private synchronized void clearBusy() {
        busy = false;
    }

    private synchronized boolean applyStored(final StoredObject object) {
        if (!isLoaded || object.revision().isAfter(revision)) {
            try {
                if (object.value().isPresent()) {
                    setProgress(
                            Json.read(object.value().get(), RolloutProgress.class),
                            object.revision());
                } else {
                    isLoaded = true;
                }
            } catch (final MalformedValueException e) {
                EventLog.write(Event.CONFIGURATION_MALFORMED, "key", object.key());
                return false;
            }
        }
        return true;
    }

    private synchronized void setProgress(final RolloutProgress next, final Revision at) {
        if (next.step() > progress.step()) {
            EventLog.write(Event.ROLLOUT_STEP, "rollout", rollout.id(), "step", next.step());
        }
        progress = next;
        revision = at;
        isLoaded = true;
    }

    private Evidence totalEvidence() {
        return evidenceBySource.values().stream().reduce(Evidence.none(), Evidence::plus);
    }

    private long usedExposures() {
        final long stored =
                Optional.ofNullable(progress.evidence().get(dataCentre))
                        .map(Evidence::exposed)
                        .orElse(0L);
        return Math.max(stored, totalEvidence().exposed()) + recentlyGranted();
    }

    private int recentlyGranted() {
        final long oldest = clock.millis() - GRANT_EXPIRY.toMillis();
        while (!grantedAtMillis.isEmpty() && grantedAtMillis.peekFirst() < oldest) {
            grantedAtMillis.removeFirst();
        }
        return grantedAtMillis.size();
    }
}
