package org.fennelstage.bench.engine;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.ModelId;
import org.fennelstage.placement.Job;
import org.fennelstage.placement.Prompt;
import org.fennelstage.placement.PromptPart;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.sizing.SizePlan;
import org.fennelstage.speed.EventTimer;

/**
 * One request from its arrival to the end of its response or its deadline, with all its attempts.
 * Confined to one simulation.
 */
final class SimulatedRequest {

    /** Confidence of a model in an answer to a request as difficult as its quality. */
    private static final int EVEN_CONFIDENCE = 50;

    /** Increase of the confidence per unit of quality above the difficulty. */
    private static final double CONFIDENCE_PER_QUALITY = 170;

    /** Standard deviation of the confidence. */
    private static final double CONFIDENCE_DEVIATION = 10;

    private final Simulation simulation;
    private final SimulatedVm vm;
    private final RequestKind kind;
    private final String sharedPartId;
    private final int promptTokens;
    private final int outputTokens;
    private final double difficulty;
    private final SplittableRandom random;
    private final SizePlan plan;
    private final double arrivalMillis;
    private Optional<EngineAttempt> currentAttempt = Optional.empty();
    private Optional<Integer> firstConfidence = Optional.empty();
    private Optional<ModelId> firstModel = Optional.empty();
    private TrackedServer server;
    private long readMillis;
    private boolean promptRead;
    private boolean ended;
    private double firstTokenMillis = -1;

    SimulatedRequest(
            final Simulation simulation,
            final SimulatedVm vm,
            final RequestKind kind,
            final String sharedPartId,
            final int promptTokens,
            final int outputTokens,
            final double difficulty,
            final SplittableRandom random) {
        this.simulation = simulation;
        this.vm = vm;
        this.kind = kind;
        this.sharedPartId = sharedPartId;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.difficulty = difficulty;
        this.random = random;
        this.plan =
                SizePlan.of(
                        simulation.route(kind),
                        vm.confidenceGains(kind),
                        simulation.setup().policy());
        this.arrivalMillis = simulation.eventQueue().nowMillis();
    }

    void start() {
        simulation.eventQueue().schedule(kind.deadlineMillis(), this::onDeadline);
        send();
    }

    private void send() {
        final ModelId model = plan.model().orElseThrow();
        final Job job = job(model);
        simulation.stats(kind).onAttempt();
        server = vm.placement().choose(vm.servers(), job, false, s -> false).orElseThrow();
        readMillis = job.readMillis();
        promptRead = false;
        server.begin(readMillis);
        final double sentMillis = simulation.eventQueue().nowMillis();
        final EventTimer timer = new EventTimer();
        final EngineAttempt attempt =
                new EngineAttempt(
                        spec(model),
                        sharedPartId,
                        promptTokens,
                        outputTokens,
                        () -> onToken(timer),
                        () -> onFirstToken(sentMillis),
                        () -> {
                            timer.onEnd().ifPresent(this::sample);
                            onEnd(sentMillis);
                        });
        currentAttempt = Optional.of(attempt);
        simulation.engine(server.entry().id()).submit(attempt, kind.sharedTokens());
    }

    private Job job(final ModelId model) {
        final LatencyEstimator estimator = vm.latencyEstimator(model);
        final Prompt prompt =
                new Prompt(
                        List.of(
                                new PromptPart(sharedPartId, kind.sharedTokens()),
                                new PromptPart("own", promptTokens - kind.sharedTokens())),
                        promptTokens,
                        outputTokens);
        return new Job(
                Optional.of(prompt),
                Optional.of(model),
                simulation.setup().policy().uses(Mechanism.MEMORY_AFFINITY),
                estimator.prefillMillisPerToken(),
                estimator.responseMillis());
    }

    private void onToken(final EventTimer timer) {
        timer.onEvent((long) simulation.eventQueue().nowMillis()).ifPresent(this::sample);
    }

    private void sample(final EventTimer.Sample sample) {
        vm.onSpeedSample(server, plan.model().orElseThrow(), sample);
    }

    private void onFirstToken(final double sentMillis) {
        final ModelId model = plan.model().orElseThrow();
        endPromptRead();
        vm.latencyEstimator(model)
                .onFirstByte(
                        (long) (simulation.eventQueue().nowMillis() - sentMillis), promptTokens);
        final int confidence = confidence(spec(model));
        recordConfidence(model, confidence);
        final Optional<ModelId> larger = plan.nextModel(OptionalInt.of(confidence), m -> true);
        if (larger.isPresent()) {
            endAttempt();
            plan.escalate(larger.get());
            send();
        } else {
            firstTokenMillis = simulation.eventQueue().nowMillis() - arrivalMillis;
        }
    }

    /** Records the confidence gain over the first model that answered this request. */
    private void recordConfidence(final ModelId model, final int confidence) {
        if (firstConfidence.isEmpty()) {
            firstConfidence = Optional.of(confidence);
            firstModel = Optional.of(model);
        } else {
            vm.confidenceGains(kind)
                    .observe(firstModel.orElseThrow(), firstConfidence.get(), model, confidence);
        }
    }

    private int confidence(final ModelSpec model) {
        final double unclipped =
                EVEN_CONFIDENCE
                        + (model.quality() - difficulty) * CONFIDENCE_PER_QUALITY
                        + CONFIDENCE_DEVIATION * random.nextGaussian();
        return (int) Math.max(0, Math.min(100, unclipped));
    }

    private void onEnd(final double sentMillis) {
        final ModelSpec model = spec(plan.model().orElseThrow());
        vm.latencyEstimator(model.id())
                .onEnd((long) (simulation.eventQueue().nowMillis() - sentMillis), 0);
        endAttempt();
        ended = true;
        simulation.stats(kind).onResponse(firstTokenMillis, difficulty <= model.quality());
    }

    private void onDeadline() {
        if (!ended) {
            ended = true;
            endAttempt();
        }
    }

    private void endAttempt() {
        currentAttempt.ifPresent(EngineAttempt::cancel);
        currentAttempt = Optional.empty();
        endPromptRead();
        server.end();
    }

    /** Removes the prompt from the unread work at the backend server, once for each attempt. */
    private void endPromptRead() {
        if (!promptRead) {
            promptRead = true;
            server.onPromptRead(readMillis);
        }
    }

    private ModelSpec spec(final ModelId id) {
        return simulation.setup().models().stream()
                .filter(m -> m.id().equals(id))
                .findFirst()
                .orElseThrow();
    }
}
