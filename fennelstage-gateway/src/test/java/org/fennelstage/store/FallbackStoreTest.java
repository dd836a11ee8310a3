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
        store.complete(PAGE);
        assertThat(results).containsExactly(PAGE);
        assertThat(firstRelay.pending()).isEmpty();
    }

    /** Guards against outdated keys on a VM to which alone the store is unavailable. */
    @Test
    void callsGoThroughRelaysWhenTheStoreIsUnavailableToThisVm() {
        list();
        store.complete(UNAVAILABLE);
        firstRelay.complete(UNAVAILABLE);
        secondRelay.complete(PAGE);
        assertThat(results).containsExactly(PAGE);
        list();
        assertThat(store.pending()).isEmpty();
        firstRelay.complete(PAGE);
        assertThat(results).hasSize(2);
    }

    /** Guards against a long watch that waits for its own timeout after another call failed. */
    @Test
    void oneFailedCallFailsAllPendingCallsAndLaterCallsGoThroughARelay() {
        list();
        list();
        store.complete(UNAVAILABLE);
        assertThat(results).hasSize(1);
        assertThat(results.get(0)).isInstanceOf(StoreResult.Unavailable.class);
        firstRelay.complete(PAGE);
        store.complete(PAGE);
        assertThat(results).hasSize(2);
        list();
        assertThat(firstRelay.pending()).hasSize(1);
        assertThat(fallback.mayRelay()).isFalse();
    }

    /** Guards against a VM that relays no calls although the store is available to it again. */
    @Test
    void relaysOneProbeCallAfterAPauseAndAllCallsAfterAResponse() {
        list();
        store.complete(UNAVAILABLE);
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
        store.complete(UNAVAILABLE);
        firstRelay.complete(PAGE);
        now.addAndGet(1_500);
        list();
        store.complete(PAGE);
        list();
        assertThat(store.pending()).hasSize(1);
    }

    @Test
    void callFailsWhenTheStoreAndAllRelaysFail() {
        list();
        store.complete(UNAVAILABLE);
        firstRelay.complete(UNAVAILABLE);
        secondRelay.complete(UNAVAILABLE);
        assertThat(results).containsExactly(UNAVAILABLE);
    }

    /** Without direct access to the store, the result has to come from some relay. */
    @Test
    void nextRelayIsCalledWhenAResultIsTooLargeForOne() {
        list();
        store.complete(UNAVAILABLE);
        firstRelay.complete(new StoreResult.TooLarge<Page<VmEntry>>());
        secondRelay.complete(PAGE);
        assertThat(results).containsExactly(PAGE);
    }
}
