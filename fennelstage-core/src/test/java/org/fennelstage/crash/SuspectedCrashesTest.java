package org.fennelstage.crash;

import static org.assertj.core.api.Assertions.assertThat;

import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class SuspectedCrashesTest {

    private static final Incarnation FIRST = Incarnation.of(BackendServerId.of("i-1"));
    private static final Incarnation SECOND = Incarnation.of(BackendServerId.of("i-2"));
    private static final Fingerprint CONTENT = new Fingerprint(7);
    private static final RequestFingerprints REQUEST = RequestFingerprints.of(CONTENT);
    private static final RequestFingerprints OTHER = RequestFingerprints.of(new Fingerprint(8));

    private final SuspectedCrashes suspected = SuspectedCrashes.empty();

    @Test
    void onlyTheFirstBrokenConnectionOfAServerAsksForAProbe() {
        assertThat(suspected.add(FIRST, REQUEST)).isTrue();
        assertThat(suspected.add(FIRST, OTHER)).isFalse();
        assertThat(suspected.take(FIRST)).containsOnly(REQUEST, OTHER);
        assertThat(suspected.take(FIRST)).isEmpty();
        assertThat(suspected.add(FIRST, REQUEST)).isTrue();
    }

    @Test
    void aRequestCountsForEachServerWhoseCrashIsUndecided() {
        suspected.add(FIRST, REQUEST);
        suspected.add(SECOND, REQUEST);
        assertThat(suspected.count(CONTENT)).isEqualTo(2);
        suspected.take(FIRST);
        assertThat(suspected.count(CONTENT)).isEqualTo(1);
    }
}
