package org.fennelstage.crash;

import static org.assertj.core.api.Assertions.assertThat;

import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class SuspectedCrashesTest {

    private static final Incarnation FIRST = Incarnation.of(BackendServerId.of("i-1"));
    private static final Incarnation SECOND = Incarnation.of(BackendServerId.of("i-2"));
    private static final Fingerprint CONTENT = new Fingerprint(7);

    private final SuspectedCrashes broken = SuspectedCrashes.empty();

    @Test
    void aWorkerIsLookedAtOnceForAllThatBrokeThere() {
        assertThat(broken.add(FIRST, CONTENT)).isTrue();
        assertThat(broken.add(FIRST, new Fingerprint(8))).isFalse();
        assertThat(broken.take(FIRST)).containsOnly(CONTENT, new Fingerprint(8));
        assertThat(broken.take(FIRST)).isEmpty();
        assertThat(broken.add(FIRST, CONTENT)).isTrue();
    }

    @Test
    void aRequestCountsForEachWorkerThatIsNotJudgedYet() {
        broken.add(FIRST, CONTENT);
        broken.add(SECOND, CONTENT);
        assertThat(broken.count(CONTENT)).isEqualTo(2);
        broken.take(FIRST);
        assertThat(broken.count(CONTENT)).isEqualTo(1);
    }
}
