package org.fennelstage.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VmId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.model.VersionChooser;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.peer.PeerGroup;
import org.fennelstage.peer.generated.Envelope;
import org.fennelstage.peer.generated.EvidenceReport;
import org.fennelstage.peer.generated.ShareReply;
import org.fennelstage.peer.generated.ShareRequest;
import org.fennelstage.rollout.Evidence;
import org.fennelstage.rollout.ExposurePolicy;
import org.fennelstage.rollout.HaltTable;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.RolloutProgress;
import org.fennelstage.rollout.Signal;

/**
 * Performs rollouts on this VM: requests each exposure from the keeper of its data centre, reports
 * evidence to it, and runs the keeper of each rollout that is this VM's duty.
 *
 * <p>Invariants: a new version gets a request only for a granted exposure; a halt is never undone.
 * Thread-safe; one monitor guards all mutable state.
 */
public final class Rollouts implements VersionChooser.Progress {

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(100);
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final Supplier<Configuration> configuration;
    private final Duties duties;
    private final PeerGroup group;
    private final HaltTable halts;
    private final ObjectStore store;
    private final ScheduledExecutorService timer;
    private final InstantSource clock;
    private final ExposurePolicy policy;
    private final double ratedShare;
    private final Map<RolloutId, Evidence> ownEvidence = new HashMap<>();
    private final Map<RolloutId, SentReport> lastReports = new HashMap<>();
    private final Map<RolloutId, RolloutKeeper> keepers = new HashMap<>();
    private final Map<RolloutId, Integer> steps = new HashMap<>();
    private final Set<RolloutId> done = new HashSet<>();

    private record SentReport(Evidence evidence, VmId to) {}

    /**
     * The components that the rollouts use.
     *
     * @param configuration returns the current configuration
     * @param duties determines the keepers and sends messages to them
     * @param group publishes halts to peers
     * @param halts the halted rollouts
     * @param store the store
     */
    public record Dependencies(
            Supplier<Configuration> configuration,
            Duties duties,
            PeerGroup group,
            HaltTable halts,
            ObjectStore store) {}

    /**
     * Creates the rollouts of this VM.
     *
     * @param dependencies the components to use
     * @param timer schedules reports
     * @param clock the clock
     * @param policy limits the exposures of a new version
     * @param ratedShare the share of answers that are rated, in (0, 1]
     */
    public Rollouts(
            final Dependencies dependencies,
            final ScheduledExecutorService timer,
            final InstantSource clock,
            final ExposurePolicy policy,
            final double ratedShare) {
        this.configuration = dependencies.configuration();
        this.duties = dependencies.duties();
        this.group = dependencies.group();
        this.halts = dependencies.halts();
        this.store = dependencies.store();
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.policy = Objects.requireNonNull(policy, "policy is null");
        this.ratedShare = ratedShare;
    }

    /** Starts periodic reports of evidence and the work of this VM as a keeper. */
    public void start() {
        final long period = PERIOD.toMillis();
        timer.scheduleWithFixedDelay(this::tick, period, period, TimeUnit.MILLISECONDS);
    }

    @Override
    public VersionChooser.Status status(final Rollout rollout) {
        if (halts.find(rollout.id()).isPresent()) {
            return VersionChooser.Status.HALTED;
        }
        synchronized (this) {
            return done.contains(rollout.id())
                    ? VersionChooser.Status.DONE
                    : VersionChooser.Status.RUNNING;
        }
    }

    /**
     * Returns the share of new requests that the new version may get at the current step.
     *
     * @param rollout the rollout
     * @return the share, in (0, 1]
     */
    public double newVersionShare(final Rollout rollout) {
        final int step;
        synchronized (this) {
            step = steps.getOrDefault(rollout.id(), 0);
        }
        return rollout.steps().get(Math.min(step, rollout.steps().size() - 1));
    }

    /**
     * Requests one exposure.
     *
     * @param rollout the rollout
     * @return the reply; {@link ExposureReply#NONE} if the keeper does not reply in time
     */
    public CompletableFuture<ExposureReply> requestExposure(final Rollout rollout) {
        final Optional<VmId> holder = duties.holder(duty(rollout.id()));
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(ExposureReply.NONE);
        }
        if (holder.get().equals(duties.self())) {
            final ExposureReply exposure = keeper(rollout).requestExposure();
            recordReply(rollout, exposure);
            return CompletableFuture.completedFuture(exposure);
        }
        final Envelope.Builder body =
                Envelope.newBuilder()
                        .setShareRequest(
                                ShareRequest.newBuilder().setRollout(rollout.id().value()));
        return duties.request(holder.get(), body, REQUEST_TIMEOUT)
                .thenApply(
                        reply ->
                                reply.map(e -> decode(e.getShareReply()))
                                        .orElse(ExposureReply.NONE))
                .thenApply(
                        exposure -> {
                            recordReply(rollout, exposure);
                            return exposure;
                        });
    }

    /**
     * Records that one request was sent to the new version.
     *
     * @param rollout the rollout
     */
    public void recordExposure(final RolloutId rollout) {
        updateEvidence(rollout, Evidence::plusExposed);
    }

    /**
     * Records whether one response of the new version was bad in one respect.
     *
     * @param rollout the rollout
     * @param signal the property that was checked
     * @param isBad true if it was bad
     */
    public void recordSignal(final RolloutId rollout, final Signal signal, final boolean isBad) {
        updateEvidence(rollout, e -> e.plus(signal, isBad));
    }

    /**
     * Handles a message if it is about rollouts.
     *
     * @param message the message
     * @param reply sends the reply to the sender
     * @return false if the message is of another kind
     */
    public boolean handle(final Envelope message, final Consumer<Envelope.Builder> reply) {
        switch (message.getBodyCase()) {
            case SHARE_REQUEST -> {
                final ExposureReply exposure =
                        find(message.getShareRequest().getRollout())
                                .map(r -> keeper(r).requestExposure())
                                .orElse(ExposureReply.NONE);
                reply.accept(encode(exposure));
            }
            case EVIDENCE_REPORT -> onReport(message.getSender(), message.getEvidenceReport());
            default -> {
                return false;
            }
        }
        return true;
    }

    private void tick() {
        for (final Rollout rollout : configuration.get().rollouts()) {
            if (rollout.state() == Rollout.State.ABORTED) {
                continue;
            }
            reportOwn(rollout);
            if (duties.isMine(duty(rollout.id()))) {
                runKeeper(rollout);
            } else {
                synchronized (this) {
                    keepers.remove(rollout.id());
                }
            }
        }
    }

    private void runKeeper(final Rollout rollout) {
        final RolloutKeeper keeper = keeper(rollout);
        keeper.detectDrift();
        final RolloutProgress progress = keeper.computeProgress();
        halts.find(rollout.id()).ifPresent(keeper::halt);
        if (progress.halted().isPresent()) {
            halt(rollout, progress.halted().get());
        }
        if (progress.done()) {
            recordReply(rollout, new ExposureReply(false, progress.step(), false, true));
        }
        keeper.synchronizeProgress();
    }

    private void halt(final Rollout rollout, final Signal signal) {
        if (halts.add(rollout.id(), signal)) {
            EventLog.write(
                    Event.ROLLOUT_HALTED,
                    "rollout",
                    rollout.id(),
                    "candidate",
                    rollout.candidate(),
                    "signal",
                    signal);
            group.publishHalts();
        }
    }

    private void reportOwn(final Rollout rollout) {
        final Evidence evidence;
        final Optional<VmId> holder = duties.holder(duty(rollout.id()));
        synchronized (this) {
            evidence = ownEvidence.get(rollout.id());
            if (evidence == null || holder.isEmpty()) {
                return;
            }
            final SentReport next = new SentReport(evidence, holder.get());
            if (next.equals(lastReports.put(rollout.id(), next))) {
                return;
            }
        }
        if (holder.get().equals(duties.self())) {
            keeper(rollout).report(source(duties.self().value(), duties.incarnation()), evidence);
            return;
        }
        final EvidenceReport.Builder report =
                EvidenceReport.newBuilder()
                        .setRollout(rollout.id().value())
                        .setIncarnation(duties.incarnation())
                        .setExposed(evidence.exposed());
        for (final Signal signal : Signal.values()) {
            report.addJudged(evidence.judged(signal));
            report.addBad(evidence.bad(signal));
        }
        duties.send(holder.get(), Envelope.newBuilder().setEvidenceReport(report));
    }

    private void onReport(final String sender, final EvidenceReport report) {
        final long[] judged = report.getJudgedList().stream().mapToLong(Long::longValue).toArray();
        final long[] bad = report.getBadList().stream().mapToLong(Long::longValue).toArray();
        final Evidence evidence = Evidence.of(report.getExposed(), judged, bad);
        find(report.getRollout())
                .ifPresent(
                        r -> {
                            final RolloutKeeper keeper = keeper(r);
                            keeper.report(source(sender, report.getIncarnation()), evidence);
                            keeper.computeProgress().halted().ifPresent(signal -> halt(r, signal));
                        });
    }

    private Optional<Rollout> find(final String id) {
        return configuration.get().rollouts().stream()
                .filter(r -> r.id().value().equals(id))
                .findFirst();
    }

    private synchronized RolloutKeeper keeper(final Rollout rollout) {
        return keepers.computeIfAbsent(
                rollout.id(),
                id ->
                        new RolloutKeeper(
                                rollout, duties.dataCentre(), store, clock, policy, ratedShare));
    }

    private void recordReply(final Rollout rollout, final ExposureReply reply) {
        final boolean isNewlyDone;
        synchronized (this) {
            steps.merge(rollout.id(), reply.step(), Math::max);
            isNewlyDone = reply.done() && done.add(rollout.id());
        }
        if (isNewlyDone) {
            EventLog.write(Event.ROLLOUT_DONE, "rollout", rollout.id());
        }
    }

    private synchronized void updateEvidence(
            final RolloutId rollout, final UnaryOperator<Evidence> operator) {
        ownEvidence.merge(
                rollout, operator.apply(Evidence.none()), (known, first) -> operator.apply(known));
    }

    private static String duty(final RolloutId id) {
        return "rollout/" + id;
    }

    private static String source(final String vm, final long incarnation) {
        return vm + "/" + incarnation;
    }

    private static Envelope.Builder encode(final ExposureReply reply) {
        return Envelope.newBuilder()
                .setShareReply(
                        ShareReply.newBuilder()
                                .setGranted(reply.granted())
                                .setStep(reply.step())
                                .setHalted(reply.halted())
                                .setDone(reply.done()));
    }

    private static ExposureReply decode(final ShareReply reply) {
        return new ExposureReply(
                reply.getGranted(), reply.getStep(), reply.getHalted(), reply.getDone());
    }
}
