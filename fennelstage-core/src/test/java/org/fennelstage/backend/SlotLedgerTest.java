package org.fennelstage.backend;

import static org.assertj.core.api.Assertions.assertThat;

import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;

class SlotLedgerTest {

    private static final BackendServerId SERVER = BackendServerId.of("w");
    private static final VmId A = VmId.of("a");
    private static final VmId B = VmId.of("b");

    private final SlotLedger ledger = SlotLedger.empty();

    @Test
    void reserveGrantsUntilTheRequestsOfAllVmsFillTheSlots() {
        assertThat(ledger.reserve(SERVER, 2, A, 0, false).granted()).isTrue();
        assertThat(ledger.reserve(SERVER, 2, B, 0, false).granted()).isTrue();
        final SlotLedger.Reservation third = ledger.reserve(SERVER, 2, A, 1, false);
        assertThat(third.granted()).isFalse();
        assertThat(third.running()).isEqualTo(2);
        assertThat(ledger.running(SERVER)).isEqualTo(2);
    }

    @Test
    void reserveWithForceCountsARequestBeyondTheSlots() {
        ledger.reserve(SERVER, 1, A, 0, false);
        assertThat(ledger.reserve(SERVER, 1, B, 0, true).granted()).isTrue();
        assertThat(ledger.running(SERVER)).isEqualTo(2);
    }

    /** Guards against slots that stay occupied after the message of a request's end is lost. */
    @Test
    void theNextCountOfAVmReplacesTheFormerOne() {
        ledger.set(SERVER, A, 7);
        ledger.reserve(SERVER, 8, A, 1, false);
        assertThat(ledger.running(SERVER)).isEqualTo(2);
    }

    /**
     * Guards against servers that get fewer requests because those of a stopped VM occupy slots.
     */
    @Test
    void forgetRemovesTheCountsOfAVm() {
        ledger.set(SERVER, A, 5);
        ledger.set(SERVER, B, 1);
        ledger.forget(A);
        assertThat(ledger.running(SERVER)).isEqualTo(1);
    }
}
