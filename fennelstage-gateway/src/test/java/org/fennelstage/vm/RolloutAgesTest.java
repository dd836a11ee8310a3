package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.canary.RolloutAge;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.history.Position;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.Test;

class RolloutAgesTest {

    private static final ServiceName MODELS = ServiceName.of("models");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<PeerMessage> sent = new ArrayList<>();
    private List<InetSocketAddress> peers = List.of();

    private final class Vm {
        private final GatewayState state = new GatewayState(now::get, TestBounds.BOUNDS);
        private final RolloutAges ages =
                new RolloutAges(
                        state, () -> peers, (message, to) -> sent.add(message), new Random(7));

        private Vm withOrder(final Optional<Instant> begunAt, final long elapsedMillis) {
            final RolloutOrder order =
                    new RolloutOrder(
                            MODELS,
                            "v2",
                            Duration.ofSeconds(20),
                            begunAt.isPresent() ? RolloutPhase.IN_PROGRESS : RolloutPhase.ORDERED,
                            begunAt,
                            Position.of(0, 5));
            state.canary(MODELS).onOrder(order, Duration.ofMillis(elapsedMillis));
            return this;
        }
    }

    @Test
    void sendsAgeTwiceASecondAndAppliesReceivedAge() {
        final Vm first = new Vm().withOrder(Optional.empty(), 0);
        now.addAndGet(499);
        first.ages.sendDue();
        assertThat(sent).isEmpty();
        now.addAndGet(3_501);
        first.ages.sendDue();
        first.ages.sendDue();
        assertThat(sent).hasSize(1);
        final Vm started = new Vm().withOrder(Optional.of(Instant.EPOCH), 9_000);
        started.ages.onAge(((PeerMessage.Rollout) sent.get(0)).age());
        assertThat(started.state.canary(MODELS).elapsed()).hasMillis(4_000);
    }

    @Test
    void ageFromWallClockIsNotSent() {
        final Vm started = new Vm().withOrder(Optional.of(Instant.EPOCH), 9_000);
        now.addAndGet(1_000);
        started.ages.sendDue();
        assertThat(sent).isEmpty();
    }

    @Test
    void ageForUnknownServiceIsIgnored() {
        final Vm vm = new Vm();
        vm.ages.onAge(new RolloutAge(MODELS, "v2", Position.of(0, 5), 100));
        assertThat(vm.state.canaries()).isEmpty();
    }

    /** Guards against messages that grow with the square of the fleet. */
    @Test
    void numberOfMessagesIsLimitedInLargeDataCentre() {
        peers = Collections.nCopies(29, new InetSocketAddress("10.0.0.1", 7_000));
        final List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            vms.add(new Vm().withOrder(Optional.empty(), 0));
        }
        int seconds = 0;
        while (seconds < 20) {
            for (int i = 0; i < 10; i++) {
                now.addAndGet(100);
                vms.forEach(vm -> vm.ages.sendDue());
            }
            seconds++;
        }
        assertThat(sent.size()).isBetween(20 * seconds / 4, 20 * seconds);
    }
}
