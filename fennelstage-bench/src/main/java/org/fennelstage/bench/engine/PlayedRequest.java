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

/** One request of a play, from its arrival to its one end. Confined to the play. */
final class PlayedRequest {

    /**
     * Points of opinion for each unit of quality above the hardness, and the error of an opinion;
     * both as seen of models in use: opinions spread evenly over the scale, and those of a model
     * that can answer everything fall below even odds for one request in eighteen.
     */
    private static final double OPINION_SLOPE = 170;

    private static final double OPINION_ERROR = 10;
    private static final int EVEN = 50;

    private final Play play;
    private final PlayedVm vm;
    private final Kind kind;
    private final String subject;
    private final int promptTokens;
    private final int outputTokens;
    private final double hardness;
    private final SplittableRandom random;
    private final SizePlan plan;
    private final double arrived;
    private Optional<EngineRun> open = Optional.empty();
    private Optional<Integer> firstOpinion = Optional.empty();
    private Optional<ModelId> firstModel = Optional.empty();
    private TrackedServer server;
    private long readMillis;
    private boolean read;
    private boolean ended;
    private double firstByte = -1;

    PlayedRequest(
            final Play play,
            final PlayedVm vm,
            final Kind kind,
            final String subject,
            final int promptTokens,
            final int outputTokens,
            final double hardness,
            final SplittableRandom random) {
        this.play = play;
        this.vm = vm;
        this.kind = kind;
        this.subject = subject;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.hardness = hardness;
        this.random = random;
        this.plan = SizePlan.of(play.route(kind), vm.opinions(kind), play.setup().policy());
        this.arrived = play.clockwork().now();
    }

    void start() {
        play.clockwork().after(kind.deadlineMillis(), this::onDeadline);
        send();
    }

    private void send() {
        final ModelId model = plan.model().orElseThrow();
        final Job job = job(model);
        play.tally(kind).onSend();
        server = vm.placement().choose(vm.servers(), job, false, s -> false).orElseThrow();
        readMillis = job.readMillis();
        read = false;
        server.begin(readMillis);
        final double sent = play.clockwork().now();
        final EngineRun run =
                new EngineRun(
                        spec(model),
                        subject,
                        promptTokens,
                        outputTokens,
                        () -> onFirst(sent),
                        () -> onEnd(sent));
        open = Optional.of(run);
        play.engine(server.entry().id()).submit(run, kind.sharedTokens());
    }

    private Job job(final ModelId model) {
        final LatencyEstimator pace = vm.pace(model);
        final Prompt prompt =
                new Prompt(
                        List.of(
                                new PromptPart(subject, kind.sharedTokens()),
                                new PromptPart("own", promptTokens - kind.sharedTokens())),
                        promptTokens,
                        outputTokens);
        return new Job(
                Optional.of(prompt),
                Optional.of(model),
                play.setup().policy().uses(Mechanism.MEMORY_AFFINITY),
                pace.prefillMillisPerToken(),
                pace.responseMillis());
    }

    private void onFirst(final double sent) {
        final ModelId model = plan.model().orElseThrow();
        noteRead();
        vm.pace(model).onFirstByte((long) (play.clockwork().now() - sent), promptTokens);
        final int opinion = opinion(spec(model));
        noteOpinion(model, opinion);
        final Optional<ModelId> better = plan.nextModel(OptionalInt.of(opinion), m -> true);
        if (better.isPresent()) {
            release();
            plan.escalate(better.get());
            send();
        } else {
            firstByte = play.clockwork().now() - arrived;
        }
    }

    private void noteOpinion(final ModelId model, final int opinion) {
        if (firstOpinion.isEmpty()) {
            firstOpinion = Optional.of(opinion);
            firstModel = Optional.of(model);
        } else {
            vm.opinions(kind).observe(firstModel.orElseThrow(), firstOpinion.get(), model, opinion);
        }
    }

    private int opinion(final ModelSpec model) {
        final double exact =
                EVEN
                        + (model.quality() - hardness) * OPINION_SLOPE
                        + OPINION_ERROR * random.nextGaussian();
        return (int) Math.max(0, Math.min(100, exact));
    }

    private void onEnd(final double sent) {
        final ModelSpec model = spec(plan.model().orElseThrow());
        vm.pace(model.id()).onEnd((long) (play.clockwork().now() - sent));
        release();
        ended = true;
        play.tally(kind).onAnswer(firstByte, hardness <= model.quality());
    }

    private void onDeadline() {
        if (!ended) {
            ended = true;
            release();
        }
    }

    private void release() {
        open.ifPresent(EngineRun::cancel);
        open = Optional.empty();
        noteRead();
        server.end();
    }

    private void noteRead() {
        if (!read) {
            read = true;
            server.onPromptRead(readMillis);
        }
    }

    private ModelSpec spec(final ModelId id) {
        return play.setup().models().stream()
                .filter(m -> m.id().equals(id))
                .findFirst()
                .orElseThrow();
    }
}
