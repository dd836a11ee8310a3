package org.fennelstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.junit.jupiter.api.Test;

class FallbackStoreTest {

    /** A store whose answers a test gives. */
    private static final class ManualStore implements Store {
        private final List<Consumer<StoreAnswer<?>>> waiting = new ArrayList<>();

        @Override
        public <T> void list(
                final StoreKind<T> kind,
                final Optional<String> after,
                final Consumer<StoreAnswer<Page<T>>> answer) {
            keep(answer);
        }

        @Override
        public <T> void listStale(
                final StoreKind<T> kind, final Consumer<StoreAnswer<Page<T>>> answer) {
            keep(answer);
        }

        @Override
        public <T> void watch(
                final StoreKind<T> kind,
                final long since,
                final Duration wait,
                final Consumer<StoreAnswer<Page<T>>> answer) {
            keep(answer);
        }

        @Override
        public void writePhase(
                final RolloutOrder order,
                final RolloutPhase phase,
                final Instant begunAt,
                final Consumer<StoreAnswer<Void>> answer) {
            keep(answer);
        }

        @Override
        public void writeVm(final VmEntry entry, final Consumer<StoreAnswer<Void>> answer) {
            keep(answer);
        }

        @SuppressWarnings({"unchecked", "rawtypes"})
        private void keep(final Consumer answer) {
            waiting.add((Consumer<StoreAnswer<?>>) answer);
        }

        private void answer(final StoreAnswer<?> answer) {
            waiting.remove(0).accept(answer);
        }
    }

    private static final StoreAnswer<Page<VmEntry>> PAGE =
            new StoreAnswer.Done<>(new Page<>(List.of(), Optional.empty(), 7));
    private static final StoreAnswer<Page<VmEntry>> AWAY =
            new StoreAnswer.Unavailable<>(false, "503");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ManualStore store = new ManualStore();
    private final ManualStore near = new ManualStore();
    private final ManualStore far = new ManualStore();
    private final List<StoreAnswer<Page<VmEntry>>> answers = new ArrayList<>();
    private final FallbackStore fallback =
            new FallbackStore(store, () -> List.of(near, far), now::get);

    private void list() {
        fallback.list(StoreKind.VMS, Optional.empty(), answers::add);
    }

    @Test
    void whileTheStoreAnswersNoOtherVmIsAsked() {
        list();
        store.answer(PAGE);
        assertThat(answers).containsExactly(PAGE);
        assertThat(near.waiting).isEmpty();
    }

    /**
     * Symptom: one VM serves keys that were taken away seconds ago. Events: the store turns this VM
     * away and serves all others. Cause: only the store itself was asked.
     */
    @Test
    void whenTheStoreTurnsThisVmAwayAnotherVmPassesTheCallOn() {
        list();
        store.answer(AWAY);
        near.answer(AWAY);
        far.answer(PAGE);
        assertThat(answers).containsExactly(PAGE);
        list();
        assertThat(store.waiting).isEmpty();
        near.answer(PAGE);
        assertThat(answers).hasSize(2);
    }

    /**
     * Symptom: a change of routes is heard ten seconds late. Events: the store keeps silent; one
     * call times out early, a long watch waits on. Cause: each call found out for itself.
     */
    @Test
    void allCallsThatWaitForASilentStoreFailWhenOneFailsAndAreThenAskedOfAnotherVm() {
        list();
        list();
        store.answer(AWAY);
        assertThat(answers).hasSize(1);
        assertThat(answers.get(0)).isInstanceOf(StoreAnswer.Unavailable.class);
        near.answer(PAGE);
        store.answer(PAGE);
        assertThat(answers).hasSize(2);
        list();
        assertThat(near.waiting).hasSize(1);
        assertThat(fallback.reachesStore()).isFalse();
    }

    @Test
    void theStoreIsAskedAgainAfterAPause() {
        list();
        store.answer(AWAY);
        near.answer(PAGE);
        now.addAndGet(1_500);
        list();
        store.answer(PAGE);
        list();
        assertThat(store.waiting).hasSize(1);
    }

    @Test
    void whenNobodyReachesTheStoreTheCallFails() {
        list();
        store.answer(AWAY);
        near.answer(AWAY);
        far.answer(AWAY);
        assertThat(answers).containsExactly(AWAY);
    }
}
