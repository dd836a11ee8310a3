package org.fennelstage.canary;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.Test;

/** VMs that report to each other what they have seen of a new version. */
class SharedEvidenceTest {

    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final double SHARE = 0.15;
    private static final int SERVERS = 9;
    private static final int SEEDS = 100;

    /** Bad responses after which a rollout has to be halted. */
    private static final int MAX_BAD_RESPONSES = 50;

    /** Usual milliseconds per event of the models, and how often they are used. */
    private static final Map<String, Double> PACES =
            Map.of("small", 10.0, "middle", 25.0, "large", 90.0);

    private static final List<String> MODELS =
            List.of("small", "small", "small", "small", "middle", "large");

    private final AtomicLong now = new AtomicLong(1_000_000);

    private Canary vm() {
        final Canary vm = Canary.of(now::get, SHARE);
        vm.onVersionWithoutOrder("v1");
        vm.onOrder(
                new RolloutOrder(
                        ServiceName.of("models"),
                        "v2",
                        DURATION,
                        RolloutPhase.ORDERED,
                        Optional.empty(),
                        Position.of(0, 7)),
                Duration.ZERO);
        return vm;
    }

    private static BackendServerId server(final int number) {
        return BackendServerId.of("i-" + number);
    }

    private void fail(final Canary vm, final int server) {
        vm.observe(server(server), "v2", new ResponseKind("drafts", Optional.empty()), false, true)
                .onEnd(true);
    }

    private static boolean isHalted(final Canary vm) {
        return vm.phaseToWrite().equals(Optional.of(RolloutPhase.ROLLED_BACK));
    }

    /** Guards against a bad version of which no VM has seen enough by itself. */
    @Test
    void failuresAtSeveralVmsHaltTheRolloutAtEachOfThem() {
        final Canary first = vm();
        final Canary second = vm();
        fail(first, 1);
        fail(second, 2);
        assertThat(isHalted(first)).isFalse();
        first.onEvidence(second.evidenceToSend(2).orElseThrow());
        assertThat(isHalted(first)).isTrue();
        second.onEvidence(first.evidenceToSend(1).orElseThrow());
        assertThat(isHalted(second)).isTrue();
    }

    /** Guards against a version that fails on one route beside good responses on all others. */
    @Test
    void failuresOnOneRouteHaltTheRolloutBesideGoodResponsesOnOthers() {
        final Canary first = vm();
        final Canary second = vm();
        fail(first, 1);
        for (int i = 0; i < 20; i++) {
            first.observe(server(i), "v2", new ResponseKind("tags", Optional.empty()), false, true)
                    .onEnd(false);
        }
        fail(second, 2);
        first.onEvidence(second.evidenceToSend(2).orElseThrow());
        assertThat(isHalted(first)).isTrue();
    }

    /** Guards against the halt of a good version because a message arrives twice or late. */
    @Test
    void repeatedAndLateReportsCountOnce() {
        final Canary first = vm();
        final Canary second = vm();
        fail(second, 1);
        final RolloutEvidence early = second.evidenceToSend(2).orElseThrow();
        second.observe(server(2), "v2", new ResponseKind("drafts", Optional.empty()), false, true)
                .onEnd(false);
        final RolloutEvidence late = second.evidenceToSend(2).orElseThrow();
        first.onEvidence(late);
        final String once = first.evidence();
        first.onEvidence(early);
        first.onEvidence(late);
        assertThat(first.evidence()).isEqualTo(once);
    }

    /** Guards against the halt of a good version because one of its servers is broken. */
    @Test
    void failuresOfASingleServerAtAllVmsDoNotHaltTheRollout() {
        final Canary first = vm();
        for (int i = 0; i < 20; i++) {
            final Canary other = vm();
            fail(other, 1);
            fail(other, 1);
            first.onEvidence(other.evidenceToSend(i).orElseThrow());
        }
        assertThat(isHalted(first)).isFalse();
    }

    @Test
    void reportsOnAnotherOrderAreIgnored() {
        final Canary first = vm();
        final Canary second = vm();
        fail(first, 1);
        fail(second, 2);
        final RolloutEvidence report = second.evidenceToSend(2).orElseThrow();
        first.onEvidence(
                new RolloutEvidence(
                        report.service(),
                        report.target(),
                        Position.of(0, 6),
                        report.source(),
                        report.totals()));
        assertThat(isHalted(first)).isFalse();
    }

    /** Responses of all VMs to a rollout, one after the other, until it is halted. */
    private final class Simulation {
        private final Random random;
        private final List<Canary> vms = new ArrayList<>();
        private long sharedMillis = now.get();
        private int bad;

        private Simulation(final int vmCount, final long seed) {
            random = new Random(seed);
            for (int i = 0; i < vmCount; i++) {
                vms.add(vm());
            }
        }

        /** Runs until the rollout is halted or a number of requests reached the new version. */
        private boolean isHaltedWithin(final int requests, final double factor) {
            for (int i = 0; i < requests; i++) {
                for (int j = 0; j < 13; j++) {
                    respond("v1", 1);
                }
                final boolean slow = factor > 1 && random.nextBoolean();
                bad += slow ? 1 : 0;
                respond("v2", slow ? factor : 1);
                share();
                if (vms.stream().anyMatch(SharedEvidenceTest::isHalted)) {
                    return true;
                }
            }
            return false;
        }

        private void respond(final String version, final double factor) {
            final String model = MODELS.get(random.nextInt(MODELS.size()));
            final double millis = PACES.get(model) * Math.exp(0.3 * random.nextGaussian()) * factor;
            final ResponseObservation response =
                    vms.get(random.nextInt(vms.size()))
                            .observe(
                                    server(random.nextInt(SERVERS)),
                                    version,
                                    new ResponseKind("drafts", Optional.of(ModelId.of(model))),
                                    false,
                                    true);
            final long before = now.get();
            now.addAndGet(Math.round(millis));
            response.onEnd(false);
            now.set(before + 1);
        }

        private void share() {
            if (now.get() - sharedMillis < PERIOD.toMillis()) {
                return;
            }
            sharedMillis = now.get();
            for (int i = 0; i < vms.size(); i++) {
                final Optional<RolloutEvidence> report = vms.get(i).evidenceToSend(i);
                final Canary sender = vms.get(i);
                report.ifPresent(
                        r -> vms.stream().filter(v -> v != sender).forEach(v -> v.onEvidence(r)));
            }
        }
    }

    /** Guards against a slow version that is found only after many callers have waited for it. */
    @Test
    void aSlowVersionIsHaltedBeforeItsFiftiethBadResponse() {
        for (final double factor : new double[] {8, 4}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                final Simulation simulation = new Simulation(9, seed);
                assertThat(simulation.isHaltedWithin(1_000, factor)).isTrue();
                assertThat(simulation.bad)
                        .as("factor %s, seed %d", factor, seed)
                        .isLessThan(MAX_BAD_RESPONSES);
            }
        }
    }

    /** Guards against the halt of a good version by chance. */
    @Test
    void aGoodVersionIsNotHalted() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(new Simulation(9, seed).isHaltedWithin(300, 1))
                    .as("seed %d", seed)
                    .isFalse();
        }
    }
}
