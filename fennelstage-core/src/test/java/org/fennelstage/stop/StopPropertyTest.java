package org.fennelstage.stop;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.fennelstage.attempt.LatencyEstimator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Stops of a VM whose requests, their work, its grace period and its late turns are drawn from a
 * seed.
 */
class StopPropertyTest {

    private static final int REQUESTS = 300;
    private static final int MIN_GRACE_MILLIS = 4_000;

    private enum End {
        OPEN,
        ANSWERED,
        NOT_RUN,
        OUTCOME_UNKNOWN
    }

    /** A request that is whole, and may be passed on, at some time after the signal. */
    private static final class Request {
        private final long wholeMillis;
        private final long workMillis;
        private long passedOnMillis = -1;
        private End end = End.OPEN;

        private Request(final long wholeMillis, final long workMillis) {
            this.wholeMillis = wholeMillis;
            this.workMillis = workMillis;
        }

        private boolean isOpen(final long now) {
            return wholeMillis <= now && end == End.OPEN;
        }
    }

    private final LatencyEstimator times = new LatencyEstimator();
    private long now;

    static LongStream seeds() {
        return LongStream.range(0, 200);
    }

    /** Guards against requests that are passed on by a mean and cut by the exit. */
    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestThatIsWholeBeforeTheExitEndsWithAResponse(final long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final long graceMillis = MIN_GRACE_MILLIS + random.nextInt(8_000);
        final double medianMillis = 20 + random.nextInt(3_000);
        learn(random, random.nextBoolean() ? medianMillis : 20);
        final List<Request> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            requests.add(
                    new Request(random.nextLong(graceMillis), workMillis(random, medianMillis)));
        }
        final Drain drain =
                Drain.of(() -> now, () -> now, 0, 0, true, Duration.ofMillis(graceMillis));
        final ExitAdmission admission = ExitAdmission.until(drain::untilLastResponses);
        for (boolean exited = false; !exited; ) {
            handle(requests, admission);
            final long open = requests.stream().filter(r -> r.isOpen(now)).count();
            final Drain.Progress progress =
                    new Drain.Progress(drain.isBalancerInformed(), (int) open, 0, (int) open);
            switch (drain.next(progress)) {
                case RESPOND -> requests.stream().filter(r -> r.isOpen(now)).forEach(this::respond);
                case EXIT -> exited = true;
                default -> now += 1 + (random.nextInt(50) == 0 ? random.nextInt(600) : 0);
            }
        }
        assertThat(requests).noneMatch(request -> request.isOpen(now));
        assertThat(requests)
                .filteredOn(request -> request.end == End.NOT_RUN)
                .allMatch(request -> request.passedOnMillis < 0);
    }

    /** Passes on what the admission allows, and ends what is done. */
    private void handle(final List<Request> requests, final ExitAdmission admission) {
        for (final Request request : requests) {
            if (!request.isOpen(now)) {
                continue;
            }
            if (request.passedOnMillis < 0 && !admission.admits(times.likelyResponseMillis())) {
                request.end = End.NOT_RUN;
            } else if (request.passedOnMillis < 0) {
                request.passedOnMillis = now;
            } else if (now - request.passedOnMillis >= request.workMillis) {
                request.end = End.ANSWERED;
            }
        }
    }

    private void respond(final Request request) {
        request.end = request.passedOnMillis < 0 ? End.NOT_RUN : End.OUTCOME_UNKNOWN;
    }

    /**
     * Guards against an admission by the mean: half of the requests that are passed on late would
     * not end before the exit.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void fewOfTheRequestsThatArePassedOnDoNotEndBeforeTheExit(final long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final double medianMillis = 50 + random.nextInt(1_000);
        learn(random, medianMillis);
        int passedOn = 0;
        int cut = 0;
        for (int leftMillis = 0; leftMillis < 8_000; leftMillis += 20) {
            final Duration left = Duration.ofMillis(leftMillis);
            if (ExitAdmission.until(() -> left).admits(times.likelyResponseMillis())) {
                passedOn++;
                cut += workMillis(random, medianMillis) >= leftMillis ? 1 : 0;
            }
        }
        assertThat(passedOn).isPositive();
        assertThat(cut).isLessThanOrEqualTo(passedOn / 20 + 1);
    }

    private void learn(final SplittableRandom random, final double medianMillis) {
        for (int i = 0; i < 200; i++) {
            times.onEnd(workMillis(random, medianMillis), 0);
        }
    }

    private static long workMillis(final SplittableRandom random, final double medianMillis) {
        return Math.round(medianMillis * Math.exp(0.5 * random.nextGaussian()));
    }
}
