package org.fennelstage.speed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventTimerTest {

    private final EventTimer timer = new EventTimer();
    private final List<Double> samples = new ArrayList<>();
    private long now = 1_000;

    private void events(final int count, final long periodMillis) {
        for (int i = 0; i < count; i++) {
            now += periodMillis;
            timer.onEvent(now).ifPresent(s -> samples.add(s.millisPerEvent()));
        }
    }

    @Test
    void aStreamGivesASampleEachHalfSecondAndOneForTheRest() {
        events(1 + 60, 20);
        assertThat(samples).containsExactly(20.0, 20.0);
        assertThat(timer.onEnd().map(EventTimer.Sample::millisPerEvent)).hasValue(20.0);
    }

    /**
     * Guards against a server that counts as slow because it read the prompt of another request.
     */
    @Test
    void theLongestPauseIsLeftOut() {
        events(5, 20);
        now += 300;
        events(20, 20);
        assertThat(samples).containsExactly(20.0);
    }

    /** Guards against a server that counts as slow because its caller reads slowly. */
    @Test
    void theTimeOfAPauseIsLeftOut() {
        events(10, 20);
        timer.onPaused();
        now += 5_000;
        timer.onResumed(now);
        events(35, 20);
        assertThat(samples).isEmpty();
        assertThat(timer.onEnd().map(EventTimer.Sample::millisPerEvent)).hasValue(20.0);
    }

    @Test
    void fewEventsAndEventsThatArriveTogetherGiveNoSample() {
        events(3, 20);
        assertThat(timer.onEnd()).isEmpty();
        timer.onPaused();
        timer.onResumed(now);
        now += EventTimer.SAMPLE_MILLIS;
        events(20, 0);
        assertThat(timer.onEnd()).isEmpty();
    }

    /** Guards against a server that counts as fast because buffered events arrive in a burst. */
    @Test
    void eventsDuringAPauseAndTheBacklogAfterItGiveNoSample() {
        events(10, 20);
        timer.onPaused();
        events(100, 10);
        timer.onResumed(now);
        events(50, 5);
        events(15, 20);
        assertThat(samples).isEmpty();
        events(25, 20);
        assertThat(samples).containsExactly(20.0);
    }

    /** Guards against a short rest of a stream that counts as much as a whole sample. */
    @Test
    void weightGrowsWithTheTimeThatASampleCovers() {
        events(1 + 5, 20);
        assertThat(timer.onEnd().map(EventTimer.Sample::weight)).hasValue(0.05);
        events(25, 20);
        assertThat(timer.onEnd()).isEmpty();
    }
}
