package org.fennelstage.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class QuarantineTest {

    private static final Fingerprint CONTENT = new Fingerprint(7);

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Quarantine quarantine = Quarantine.of(now::get);

    @Test
    void aRequestIsRejectedForTheLifetimeOnly() {
        assertThat(quarantine.add(CONTENT)).isTrue();
        now.addAndGet(1_000);
        assertThat(quarantine.add(CONTENT)).isFalse();
        assertThat(quarantine.remaining(CONTENT))
                .contains(Quarantine.LIFETIME.minus(Duration.ofSeconds(1)));
        assertThat(quarantine.removeExpired()).isEmpty();
        now.addAndGet(Quarantine.LIFETIME.toMillis());
        assertThat(quarantine.remaining(CONTENT)).isEmpty();
        assertThat(quarantine.removeExpired()).containsExactly(CONTENT);
        assertThat(quarantine.size()).isZero();
    }

    @Test
    void aReleasedRequestIsNoLongerRejected() {
        quarantine.add(CONTENT);
        assertThat(quarantine.release(CONTENT)).isTrue();
        assertThat(quarantine.release(CONTENT)).isFalse();
        assertThat(quarantine.remaining(CONTENT)).isEmpty();
    }
}
