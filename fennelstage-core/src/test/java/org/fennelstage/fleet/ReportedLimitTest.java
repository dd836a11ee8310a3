package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ReportedLimitTest {

    private static final RateLimit LIMIT = new RateLimit(3.1);

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ReportedLimit limit = new ReportedLimit(now::get);

    @Test
    void thereIsNoLimitAtFirst() {
        assertThat(limit.current()).isEmpty();
    }

    @Test
    void onlyADifferentLimitIsAChange() {
        assertThat(limit.onReported(LIMIT)).isTrue();
        assertThat(limit.onReported(LIMIT)).isFalse();
        assertThat(limit.onReported(new RateLimit(2.5))).isTrue();
        assertThat(limit.current()).contains(new RateLimit(2.5));
    }

    /** Guards against a response made before the limit began that ends the limit. */
    @Test
    void responseToARequestSentBeforeTheLimitWasKnownDoesNotEndIt() {
        final long sent = now.get();
        now.addAndGet(100);
        limit.onReported(LIMIT);
        assertThat(limit.onUnlimitedResponse(sent)).isFalse();
        assertThat(limit.current()).contains(LIMIT);
    }

    @Test
    void responseToALaterRequestEndsIt() {
        limit.onReported(LIMIT);
        now.addAndGet(100);
        assertThat(limit.onUnlimitedResponse(now.get())).isTrue();
        assertThat(limit.current()).isEmpty();
    }

    @Test
    void limitEndsSomeTimeAfterTheLastReport() {
        limit.onReported(LIMIT);
        now.addAndGet(ReportedLimit.TTL_MILLIS);
        limit.onReported(LIMIT);
        now.addAndGet(ReportedLimit.TTL_MILLIS);
        assertThat(limit.current()).contains(LIMIT);
        now.addAndGet(1);
        assertThat(limit.current()).isEqualTo(Optional.empty());
    }

    @Test
    void newsOfAnotherVmEndsIt() {
        limit.onReported(LIMIT);
        assertThat(limit.onEnded()).isTrue();
        assertThat(limit.onEnded()).isFalse();
    }
}
