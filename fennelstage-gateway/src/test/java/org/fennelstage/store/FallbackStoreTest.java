package org.fennelstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.history.Position;
import org.junit.jupiter.api.Test;

class FallbackStoreTest {

    private static final StoreResult<Page<VmEntry>> PAGE =
            new StoreResult.Done<>(new Page<>(List.of(), Optional.empty(), Position.of(0, 7)));
    private static final StoreResult<Page<VmEntry>> AWAY =
            new StoreResult.Unavailable<>(false, "503");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ManualStore store = new ManualStore();
    private final ManualStore near = new ManualStore();
    private final ManualStore far = new ManualStore();
    private final List<StoreResult<Page<VmEntry>>> answers = new ArrayList<>();
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
        assertThat(near.waiting()).isEmpty();
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
        assertThat(store.waiting()).isEmpty();
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
        assertThat(answers.get(0)).isInstanceOf(StoreResult.Unavailable.class);
        near.answer(PAGE);
        store.answer(PAGE);
        assertThat(answers).hasSize(2);
        list();
        assertThat(near.waiting()).hasSize(1);
        assertThat(fallback.mayRelay()).isFalse();
    }

    /**
     * Symptom: a VM passes no calls on although the store serves it again. Events: the store turned
     * it away for a moment; since then it asks through another VM. Cause: only its own calls could
     * tell that the store is back.
     */
    @Test
    void aVmThatWasTurnedAwayPassesOneCallOnAfterAPauseAndAllOnceThatWasAnswered() {
        list();
        store.answer(AWAY);
        assertThat(fallback.mayRelay()).isFalse();
        now.addAndGet(1_500);
        assertThat(fallback.mayRelay()).isTrue();
        assertThat(fallback.mayRelay()).isFalse();
        fallback.onRelayed();
        assertThat(fallback.mayRelay()).isTrue();
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
        assertThat(store.waiting()).hasSize(1);
    }

    @Test
    void whenNobodyReachesTheStoreTheCallFails() {
        list();
        store.answer(AWAY);
        near.answer(AWAY);
        far.answer(AWAY);
        assertThat(answers).containsExactly(AWAY);
    }

    /** A VM that cannot reach the store has to get the answer from some other VM. */
    @Test
    void anAnswerThatOneVmCannotCarryIsAskedOfTheNext() {
        list();
        store.answer(AWAY);
        near.answer(new StoreResult.TooLarge<Page<VmEntry>>());
        far.answer(PAGE);
        assertThat(answers).containsExactly(PAGE);
    }
}
