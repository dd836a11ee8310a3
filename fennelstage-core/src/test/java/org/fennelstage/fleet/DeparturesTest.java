package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DeparturesTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Departures departures = Departures.of(now::get);

    private static ServerEntry entry(final boolean leaving) {
        return ServerTableTest.entry("a", leaving);
    }

    /**
     * Symptom: a request reaches a worker seconds after this VM heard that it leaves. Events: the
     * store comes back from a copy that is older than that. Cause: the copy was taken for news.
     */
    @Test
    void aWorkerThatLeftIsTakenAsLeavingForAWhileAfterTheStoresReturn() {
        departures.judge(entry(true));
        departures.onStoreRestored();
        assertThat(departures.judge(entry(false)).draining()).isTrue();
        now.addAndGet(Departures.DOUBT_MILLIS - 1);
        assertThat(departures.believed()).isEmpty();
    }

    /**
     * Symptom: a worker that is well gets nothing for good. Events: its entry lapsed, it wrote
     * again, and the store came back from a copy. Cause: its leaving was believed for ever.
     */
    @Test
    void whatIsStillInTheStoreAfterThatWhileIsBelieved() {
        departures.onGone(entry(false).incarnation());
        departures.onStoreRestored();
        departures.judge(entry(false));
        now.addAndGet(Departures.DOUBT_MILLIS);
        final ServerEntry believed = departures.believed().orElseThrow();
        assertThat(departures.judge(believed).draining()).isFalse();
        assertThat(departures.believed()).isEmpty();
    }

    /**
     * Symptom: requests reach a worker 3.3 s after it said in an answer that it leaves. Events: the
     * store is away, and the worker's entry still calls it ready. Cause: only the store was asked.
     */
    @Test
    void aWorkersOwnWordThatItLeavesGoesBeforeItsEntryForGood() {
        assertThat(departures.onOwnWord(entry(false).incarnation())).isTrue();
        assertThat(departures.onOwnWord(entry(false).incarnation())).isFalse();
        assertThat(departures.judge(entry(false)).draining()).isTrue();
        departures.onStoreRestored();
        now.addAndGet(Departures.DOUBT_MILLIS);
        assertThat(departures.judge(entry(false)).draining()).isTrue();
        assertThat(departures.judge(ServerTableTest.born("a", 7)).draining()).isFalse();
    }

    @Test
    void withoutAReturnTheStoresWordIsTakenAsItIs() {
        departures.judge(entry(true));
        assertThat(departures.judge(entry(false)).draining()).isFalse();
    }

    @Test
    void anotherIncarnationOfAWorkerThatLeftIsNotDoubted() {
        departures.judge(entry(true));
        departures.onStoreRestored();
        assertThat(departures.judge(ServerTableTest.born("a", 7)).draining()).isFalse();
    }

    @Test
    void aDoubtedEntryThatGoesFromTheStoreIsForgotten() {
        departures.onGone(entry(false).incarnation());
        departures.onStoreRestored();
        departures.judge(entry(false));
        departures.onGone(entry(false).incarnation());
        now.addAndGet(Departures.DOUBT_MILLIS);
        assertThat(departures.believed()).isEmpty();
    }
}
