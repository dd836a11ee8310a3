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
    private static final StoreResult<Page<VmEntry>> UNAVAILABLE =
            new StoreResult.Unavailable<>(false, "503");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ManualStore store = new ManualStore();
    private final ManualStore firstRelay = new ManualStore();
    private final ManualStore secondRelay = new ManualStore();
    private final List<StoreResult<Page<VmEntry>>> results = new ArrayList<>();
    private final FallbackStore fallback =
            new FallbackStore(store, () -> List.of(firstRelay, secondRelay), now::get);

    private void list() {
        fallback.list(StoreKind.VMS, Optional.empty(), results::add);
    }

    @Test
    void noRelayIsCalledWhileTheStoreIsAvailable() {
        list();
        store.answer(PAGE);
        assertThat(results).containsExactly(PAGE);
        assertThat(firstRelay.waiting()).isEmpty();
    }

    /** Guards against outdated keys on a VM to which alone the store is unavailable. */
    @Test
    void callsGoThroughRelaysWhenTheStoreIsUnavailableToThisVm() {
        list();
        store.answer(UNAVAILABLE);
        firstRelay.answer(UNAVAILABLE);
        secondRelay.answer(PAGE);
        assertThat(results).containsExactly(PAGE);
        list();
        assertThat(store.waiting()).isEmpty();
        firstRelay.answer(PAGE);
        assertThat(results).hasSize(2);
    }

    /** Guards against a long watch that waits for its own timeout after another call failed. */
    @Test
    void oneFailedCallFailsAllPendingCallsAndLaterCallsGoThroughARelay() {
        list();
        list();
        store.answer(UNAVAILABLE);
        assertThat(results).hasSize(1);
        assertThat(results.get(0)).isInstanceOf(StoreResult.Unavailable.class);
        firstRelay.answer(PAGE);
        store.answer(PAGE);
        assertThat(results).hasSize(2);
        list();
        assertThat(firstRelay.waiting()).hasSize(1);
        assertThat(fallback.mayRelay()).isFalse();
    }

    /** Guards against a VM that relays no calls although the store is available to it again. */
    @Test
    void relaysOneProbeCallAfterAPauseAndAllCallsAfterAResponse() {
        list();
        store.answer(UNAVAILABLE);
        assertThat(fallback.mayRelay()).isFalse();
        now.addAndGet(1_500);
        assertThat(fallback.mayRelay()).isTrue();
        assertThat(fallback.mayRelay()).isFalse();
        fallback.onRelayed();
        assertThat(fallback.mayRelay()).isTrue();
    }

    @Test
    void storeIsCalledAgainAfterAPause() {
        list();
        store.answer(UNAVAILABLE);
        firstRelay.answer(PAGE);
        now.addAndGet(1_500);
        list();
        store.answer(PAGE);
        list();
        assertThat(store.waiting()).hasSize(1);
    }

    @Test
    void callFailsWhenTheStoreAndAllRelaysFail() {
        list();
        store.answer(UNAVAILABLE);
        firstRelay.answer(UNAVAILABLE);
        secondRelay.answer(UNAVAILABLE);
        assertThat(results).containsExactly(UNAVAILABLE);
    }

    /** Without direct access to the store, the result has to come from some relay. */
    @Test
    void nextRelayIsCalledWhenAResultIsTooLargeForOne() {
        list();
        store.answer(UNAVAILABLE);
        firstRelay.answer(new StoreResult.TooLarge<Page<VmEntry>>());
        secondRelay.answer(PAGE);
        assertThat(results).containsExactly(PAGE);
    }
}
