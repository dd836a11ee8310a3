package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.id.DataCentreId;
import org.junit.jupiter.api.Test;

class EvacuationsTest {

    private static final DataCentreId A = DataCentreId.of("dc-a");
    private static final DataCentreId B = DataCentreId.of("dc-b");

    private final AtomicLong now = new AtomicLong();
    private final Evacuations evacuations = Evacuations.empty(now::get);

    @Test
    void dataCentreIsEvacuatedFromBeginToEnd() {
        assertThat(evacuations.begin(A)).isTrue();
        assertThat(evacuations.includes(A)).isTrue();
        assertThat(evacuations.includes(B)).isFalse();
        assertThat(evacuations.end(A)).isTrue();
        assertThat(evacuations.includes(A)).isFalse();
    }

    @Test
    void repeatedBeginOrEndReturnsFalse() {
        evacuations.begin(A);
        assertThat(evacuations.begin(A)).isFalse();
        evacuations.end(A);
        assertThat(evacuations.end(A)).isFalse();
    }

    @Test
    void listReplacesTheEvacuations() {
        evacuations.begin(A);
        assertThat(evacuations.replaceAll(Set.of(B))).containsExactly(A);
        assertThat(evacuations.includes(A)).isFalse();
        assertThat(evacuations.includes(B)).isTrue();
    }

    /**
     * Guards against requests to an evacuated data centre after a restore that lacks its
     * evacuation.
     */
    @Test
    void evacuationMissingAfterARestoreStaysInForceUntilSettled() {
        evacuations.begin(A);
        evacuations.onStoreRestored();
        assertThat(evacuations.replaceAll(Set.of())).isEmpty();
        assertThat(evacuations.includes(A)).isTrue();
        evacuations.begin(A);
        assertThat(evacuations.settle()).isEmpty();
        assertThat(evacuations.includes(A)).isTrue();
    }

    @Test
    void evacuationThatIsNotWrittenAgainEndsWhenSettled() {
        evacuations.begin(A);
        evacuations.onStoreRestored();
        evacuations.replaceAll(Set.of());
        assertThat(evacuations.settle()).containsExactly(A);
        assertThat(evacuations.includes(A)).isFalse();
    }

    @Test
    void endAfterARestoreIsAppliedAtOnce() {
        evacuations.begin(A);
        evacuations.onStoreRestored();
        assertThat(evacuations.end(A)).isTrue();
        assertThat(evacuations.includes(A)).isFalse();
    }

    @Test
    void ageIsTheTimeSinceTheStoreWasRead() {
        now.addAndGet(300);
        assertThat(evacuations.ageMillis()).isEqualTo(300);
        evacuations.onStoreRead();
        assertThat(evacuations.ageMillis()).isZero();
    }
}
