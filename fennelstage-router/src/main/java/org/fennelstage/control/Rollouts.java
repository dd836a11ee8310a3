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
 * The roll-outs as this VM takes part in them: asks the keeper of its data centre before each
 * exposure, tells it what it found, and is the keeper where that is its duty.
 *
 * <p>Invariants: a candidate gets a request only against a granted share; a halt is never
 * forgotten. Thread-safe; one monitor guards the own evidence and the table of keepers.
 */
public final class Rollouts implements VersionChooser.Progress {

    private static final Duration SHARE_TIMEOUT = Duration.ofMillis(100);
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
    private final Map<RolloutId, Evidence> own = new HashMap<>();
    private final Map<RolloutId, Sent> sent = new HashMap<>();
    private final Map<RolloutId, RolloutKeeper> keepers = new HashMap<>();
    private final Map<RolloutId, Integer> steps = new HashMap<>();
    private final Set<RolloutId> done = new HashSet<>();

    private record Sent(Evidence evidence, VmId to) {}

    /**
     * What roll-outs work with.
     *
     * @param configuration what is in force
     * @param duties reaches the keepers
     * @param group spreads halts
     * @param halts the halted roll-outs
     * @param store the object API
     */
    public record Surroundings(
            Supplier<Configuration> configuration,
            Duties duties,
            PeerGroup group,
            HaltTable halts,
            ObjectStore store) {}

    /**
     * Creates roll-outs.
     *
     * @param surroundings what they work with
     * @param timer runs reports
     * @param clock the clock
     * @param policy how much a candidate may get
     * @param ratedShare the share of answers that are rated, in (0, 1]
     */
    public Rollouts(
            final Surroundings surroundings,
            final ScheduledExecutorService timer,
            final InstantSource clock,
            final ExposurePolicy policy,
            final double ratedShare) {
        this.configuration = surroundings.configuration();
        this.duties = surroundings.duties();
        this.group = surroundings.group();
        this.halts = surroundings.halts();
        this.store = surroundings.store();
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.policy = Objects.requireNonNull(policy, "policy is null");
        this.ratedShare = ratedShare;
    }

    /** Begins to report and to keep. */
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
     * Returns the share of new work that the candidate may get at the present step.
     *
     * @param rollout the roll-out
     * @return the share, in (0, 1]
     */
    public double share(final Rollout rollout) {
        final int step;
        synchronized (this) {
            step = steps.getOrDefault(rollout.id(), 0);
        }
        return rollout.steps().get(Math.min(step, rollout.steps().size() - 1));
    }

    /**
     * Asks for one exposure.
     *
     * @param rollout the roll-out
     * @return the answer; {@link Share#NONE} if the keeper does not answer soon
     */
    public CompletableFuture<Share> request(final Rollout rollout) {
        final Optional<VmId> holder = duties.holder(duty(rollout.id()));
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(Share.NONE);
        }
        if (holder.get().equals(duties.self())) {
            final Share share = keeper(rollout).request();
            learn(rollout, share);
            return CompletableFuture.completedFuture(share);
        }
        final Envelope.Builder body =
                Envelope.newBuilder()
                        .setShareRequest(
                                ShareRequest.newBuilder().setRollout(rollout.id().value()));
        return duties.request(holder.get(), body, SHARE_TIMEOUT)
                .thenApply(reply -> reply.map(e -> decode(e.getShareReply())).orElse(Share.NONE))
                .thenApply(
                        share -> {
                            learn(rollout, share);
                            return share;
                        });
    }

    /**
     * Notes that one request went to the candidate.
     *
     * @param rollout the roll-out
     */
    public void exposed(final RolloutId rollout) {
        change(rollout, Evidence::plusExposed);
    }

    /**
     * Notes one judgement of an answer of the candidate.
     *
     * @param rollout the roll-out
     * @param signal what was judged
     * @param isBad whether it was bad
     */
    public void judged(final RolloutId rollout, final Signal signal, final boolean isBad) {
        change(rollout, e -> e.plus(signal, isBad));
    }

    /**
     * Takes a message if it is about roll-outs.
     *
     * @param message the message
     * @param reply sends the answer
     * @return false if the message belongs to someone else
     */
    public boolean handle(final Envelope message, final Consumer<Envelope.Builder> reply) {
        switch (message.getBodyCase()) {
            case SHARE_REQUEST -> {
                final Share share =
                        find(message.getShareRequest().getRollout())
                                .map(r -> keeper(r).request())
                                .orElse(Share.NONE);
                reply.accept(encode(share));
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
                keep(rollout);
            } else {
                synchronized (this) {
                    keepers.remove(rollout.id());
                }
            }
        }
    }

    private void keep(final Rollout rollout) {
        final RolloutKeeper keeper = keeper(rollout);
        keeper.watch();
        final RolloutProgress progress = keeper.judged();
        halts.find(rollout.id()).ifPresent(keeper::halt);
        if (progress.halted().isPresent()) {
            halt(rollout, progress.halted().get());
        }
        if (progress.done()) {
            learn(rollout, new Share(false, progress.step(), false, true));
        }
        keeper.tick();
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
            evidence = own.get(rollout.id());
            if (evidence == null || holder.isEmpty()) {
                return;
            }
            final Sent next = new Sent(evidence, holder.get());
            if (next.equals(sent.put(rollout.id(), next))) {
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
                            keeper.judged().halted().ifPresent(signal -> halt(r, signal));
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

    private void learn(final Rollout rollout, final Share share) {
        final boolean isNewlyDone;
        synchronized (this) {
            steps.merge(rollout.id(), share.step(), Math::max);
            isNewlyDone = share.done() && done.add(rollout.id());
        }
        if (isNewlyDone) {
            EventLog.write(Event.ROLLOUT_DONE, "rollout", rollout.id());
        }
    }

    private synchronized void change(
            final RolloutId rollout, final UnaryOperator<Evidence> operator) {
        own.merge(rollout, operator.apply(Evidence.none()), (held, first) -> operator.apply(held));
    }

    private static String duty(final RolloutId id) {
        return "rollout/" + id;
    }

    private static String source(final String vm, final long incarnation) {
        return vm + "/" + incarnation;
    }

    private static Envelope.Builder encode(final Share share) {
        return Envelope.newBuilder()
                .setShareReply(
                        ShareReply.newBuilder()
                                .setGranted(share.granted())
                                .setStep(share.step())
                                .setHalted(share.halted())
                                .setDone(share.done()));
    }

    private static Share decode(final ShareReply reply) {
        return new Share(reply.getGranted(), reply.getStep(), reply.getHalted(), reply.getDone());
    }
}
