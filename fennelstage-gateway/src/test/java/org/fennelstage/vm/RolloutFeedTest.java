package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.junit.jupiter.api.Test;

class RolloutFeedTest {

    private static final ServiceName MODELS = ServiceName.of("models");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final GatewayState state = new GatewayState(now::get, TestBounds.BOUNDS);
    private final ManualStore store = new ManualStore();

    private RolloutFeed feedWithRank(final int rank) {
        return new RolloutFeed(
                state, store, InstantSource.fixed(Instant.EPOCH), target -> rank, () -> {});
    }

    private static List<StoredValue<RolloutOrder>> order(
            final RolloutPhase phase, final long revision) {
        final RolloutOrder order =
                new RolloutOrder(
                        MODELS,
                        "v2",
                        Duration.ofSeconds(20),
                        phase,
                        Optional.empty(),
                        Position.of(0, revision));
        return List.of(
                new StoredValue<>(
                        "models", Position.of(0, revision), Optional.of(order), Optional.empty()));
    }

    /** Guards against a write by every VM for each phase of a rollout. */
    @Test
    void laterRankWritesOnlyIfNoOtherVmDid() {
        final RolloutFeed feed = feedWithRank(2);
        feed.onAll(order(RolloutPhase.ORDERED, 5));
        feed.writeDue();
        now.addAndGet(199);
        feed.writeDue();
        assertThat(store.pending()).isEmpty();
        now.addAndGet(1);
        feed.writeDue();
        assertThat(store.pending()).hasSize(1);
        store.complete(new StoreResult.Done<>(null));

        feed.onAll(order(RolloutPhase.IN_PROGRESS, 6));
        now.addAndGet(1_000);
        feed.writeDue();
        assertThat(store.pending()).isEmpty();
    }

    @Test
    void firstRankWritesAtOnceAndDelayIsLimited() {
        final RolloutFeed first = feedWithRank(0);
        first.onAll(order(RolloutPhase.ORDERED, 5));
        first.writeDue();
        assertThat(store.pending()).hasSize(1);
        final RolloutFeed last = feedWithRank(300);
        last.writeDue();
        now.addAndGet(400);
        last.writeDue();
        assertThat(store.pending()).hasSize(2);
    }

    @Test
    void haltIsWrittenWithoutDelay() {
        final RolloutFeed feed = feedWithRank(300);
        feed.onAll(order(RolloutPhase.IN_PROGRESS, 5));
        for (int i = 0; i < 10; i++) {
            CanaryResponses.fail(state.canary(MODELS), BackendServerId.of("i-" + i), "v2");
        }
        feed.writeDue();
        assertThat(store.pending()).hasSize(1);
    }
}
