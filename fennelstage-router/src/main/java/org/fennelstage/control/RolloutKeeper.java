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
 * One data centre's part of one roll-out: adds up what its VMs find, draws the data centre's share
 * of exposure from the progress object, and hands it out one request at a time.
 *
 * <p>Invariants: no more is handed out than the object grants this data centre; without the object
 * API what is left of the grant is all there is; a halt found on the evidence at hand is reported
 * even if it cannot be written. Thread-safe; one monitor guards all state.
 */
public final class RolloutKeeper {

    /** Reports of all VMs arrive within this after a VM takes the duty over. */
    private static final Duration TAKE_OVER = Duration.ofSeconds(3);

    /** A share handed out but not reported as used after this was not used. */
    private static final Duration UNREPORTED = Duration.ofSeconds(5);

    private static final int LEAST_WANTED = 5;

    private final Rollout rollout;
    private final DataCentreId dataCentre;
    private final ObjectStore store;
    private final InstantSource clock;
    private final ExposurePolicy policy;
    private final double ratedShare;
    private final long sinceMillis;
    private final Map<String, Evidence> bySource = new HashMap<>();
    private final Deque<Long> handedMillis = new ArrayDeque<>();
    private RolloutProgress progress = RolloutProgress.begin();
    private Revision revision = Revision.NONE;
    private Optional<Signal> heardHalt = Optional.empty();
    private Optional<DriftDetector> drift = Optional.empty();
    private boolean isRead;
    private boolean busy;

    /**
     * Creates a keeper that has read nothing yet.
     *
     * @param rollout the roll-out
     * @param dataCentre the data centre it keeps it for
     * @param store the object API
     * @param clock the clock
     * @param policy how much a candidate may get
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
        this.sinceMillis = clock.millis();
    }

    /**
     * Takes the running totals of one VM's incarnation.
     *
     * @param source the VM and its incarnation
     * @param totals the totals
     */
    public synchronized void report(final String source, final Evidence totals) {
        bySource.merge(source, totals, Evidence::max);
    }

    /**
     * Hands out one exposure if there is one left.
     *
     * @return the answer to the VM
     */
    public synchronized Share request() {
        final RolloutProgress judged = judged();
        final boolean settled = clock.millis() - sinceMillis >= TAKE_OVER.toMillis();
        final boolean grants =
                settled
                        && isRead
                        && judged.halted().isEmpty()
                        && !judged.done()
                        && used() < progress.granted(dataCentre);
        if (grants) {
            handedMillis.add(clock.millis());
        }
        return new Share(grants, judged.step(), judged.halted().isPresent(), judged.done());
    }

    /**
     * Returns the progress on all evidence at hand, written or not.
     *
     * @return the progress
     */
    public synchronized RolloutProgress judged() {
        final RolloutProgress judged =
                progress.report(dataCentre, found(), rollout, policy, ratedShare);
        return heardHalt.map(judged::halt).orElse(judged);
    }

    /**
     * Looks whether a candidate that has passed turns bad; called about once a second. The data
     * centre judges by its own answers alone, so that it needs nobody to find out.
     */
    public synchronized void watch() {
        if (!progress.done() || clock.millis() - sinceMillis < TAKE_OVER.toMillis()) {
            return;
        }
        if (drift.isEmpty()) {
            drift =
                    Optional.of(
                            DriftDetector.of(
                                    rollout.tolerance(), DriftDetector.DEFAULT_ALPHA, found()));
            return;
        }
        drift.get().update(found()).ifPresent(this::halt);
    }

    /** Notes that the candidate was found bad elsewhere. */
    synchronized void halt(final Signal signal) {
        heardHalt = Optional.of(signal);
    }

    /** Reads the object and writes what is new; called about once a second. */
    public void tick() {
        synchronized (this) {
            if (busy) {
                return;
            }
            busy = true;
        }
        store.read(Keys.rollout(rollout.id()), CallPriority.NORMAL)
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found && adopt(found.object())) {
                                write();
                            } else {
                                idle();
                            }
                        });
    }

    private void write() {
        final RolloutProgress next;
        final Revision expected;
        synchronized (this) {
            final RolloutProgress judged = judged();
            final long remaining = judged.granted(dataCentre) - used();
            final long wanted = Math.max(LEAST_WANTED, 2L * recentlyHanded());
            next =
                    remaining >= wanted
                            ? judged
                            : judged.grant(dataCentre, wanted, policy, ratedShare);
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
                                install(next, written.revision());
                            } else if (result instanceof WriteResult.Conflict conflict) {
                                adopt(conflict.current());
                            }
                            idle();
                        });
    }

    private synchronized void idle() {
        busy = false;
    }

    private synchronized boolean adopt(final StoredObject object) {
        if (!isRead || object.revision().isAfter(revision)) {
            try {
                if (object.value().isPresent()) {
                    install(
                            Json.read(object.value().get(), RolloutProgress.class),
                            object.revision());
                } else {
                    isRead = true;
                }
            } catch (final MalformedValueException e) {
                EventLog.write(Event.CONFIGURATION_MALFORMED, "key", object.key());
                return false;
            }
        }
        return true;
    }

    private synchronized void install(final RolloutProgress next, final Revision at) {
        if (next.step() > progress.step()) {
            EventLog.write(Event.ROLLOUT_STEP, "rollout", rollout.id(), "step", next.step());
        }
        progress = next;
        revision = at;
        isRead = true;
    }

    private Evidence found() {
        return bySource.values().stream().reduce(Evidence.none(), Evidence::plus);
    }

    private long used() {
        final long stored =
                Optional.ofNullable(progress.evidence().get(dataCentre))
                        .map(Evidence::exposed)
                        .orElse(0L);
        return Math.max(stored, found().exposed()) + recentlyHanded();
    }

    private int recentlyHanded() {
        final long oldest = clock.millis() - UNREPORTED.toMillis();
        while (!handedMillis.isEmpty() && handedMillis.peekFirst() < oldest) {
            handedMillis.removeFirst();
        }
        return handedMillis.size();
    }
}
