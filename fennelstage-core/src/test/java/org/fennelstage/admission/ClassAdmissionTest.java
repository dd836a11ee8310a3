package org.fennelstage.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.fennelstage.admission.Admission.Standing;
import org.fennelstage.id.TeamId;
import org.junit.jupiter.api.Test;

class ClassAdmissionTest {

    private static final TrafficClass LARGE = traffic(2, "large");
    private static final TrafficClass SMALL = traffic(2, "small");
    private static final double CAPACITY = 50;

    private final ClassAdmission admission = new ClassAdmission();
    private long now;

    private static TrafficClass traffic(final int priority, final String team) {
        return TrafficClass.of(priority, Optional.of(TeamId.of(team)));
    }

    private Admission request(final TrafficClass traffic) {
        final Admission admitted = admission.onRequest(traffic, CAPACITY, now);
        if (admitted.standing() == Standing.OVER_SHARE) {
            admission.onDenied(admitted, now);
        } else {
            admission.onIssued(admitted);
        }
        return admitted;
    }

    /** Sends 100 requests a second of one class and 10 of another; returns the last of each. */
    private Admission[] load(final long millis) {
        final Admission[] last = new Admission[2];
        for (final long end = now + millis; now < end; now += 10) {
            last[0] = request(LARGE);
            last[1] = now % 100 == 0 ? request(SMALL) : last[1];
        }
        return last;
    }

    /**
     * Guards against denials by a VM that has just begun to count, as after the loss of another.
     */
    @Test
    void nothingIsDeniedUntilDemandHasBeenSeenForASecond() {
        for (now = 0; now < ClassAdmission.MIN_AGE_MILLIS; now += 10) {
            assertThat(request(LARGE).standing()).isEqualTo(Standing.WITHIN_SHARE);
            request(SMALL);
        }
        assertThat(load(2_000)[0].standing()).isNotEqualTo(Standing.WITHIN_SHARE);
    }

    @Test
    void onlyTheClassAboveItsShareIsLimited() {
        load(3_000);
        int admitted = 0;
        for (int i = 0; i < 1_000; i++) {
            admitted += request(LARGE).standing() == Standing.LIMITED ? 1 : 0;
            now += 10;
            if (i % 10 == 0) {
                assertThat(request(SMALL).standing()).isEqualTo(Standing.WITHIN_SHARE);
            }
        }
        assertThat(admitted / 10.0).isBetween(37.0, 43.0);
    }

    /** Guards against a caller that gains by repeating denied requests at once. */
    @Test
    void repeatedRequestsDoNotRaiseTheShare() {
        load(3_000);
        int admitted = 0;
        for (int i = 0; i < 10_000; i++) {
            admitted += request(LARGE).standing() == Standing.LIMITED ? 1 : 0;
            now += 1;
            if (i % 100 == 0) {
                request(SMALL);
            }
        }
        assertThat(admitted / 10.0).isBetween(37.0, 43.0);
    }

    @Test
    void theTimeUntilCreditIsThatUntilTheShareAdmitsAnotherRequest() {
        load(3_000);
        while (request(LARGE).standing() == Standing.LIMITED) {
            now++;
        }
        final Admission over = request(LARGE);
        assertThat(over.untilCredit().toMillis()).isBetween(1L, 27L);
        now += over.untilCredit().toMillis();
        assertThat(request(LARGE).standing()).isEqualTo(Standing.LIMITED);
    }

    /** Guards against denials where there is no other team or priority to protect. */
    @Test
    void aSingleClassIsNeverLimited() {
        for (now = 0; now < 5_000; now++) {
            assertThat(request(LARGE).standing()).isEqualTo(Standing.WITHIN_SHARE);
        }
    }

    @Test
    void requestsOfAPreviousVersionCountAsTheLeastUrgentWithoutTeam() {
        request(traffic(1, "a"));
        request(traffic(3, "b"));
        assertThat(request(TrafficClass.UNKNOWN).traffic())
                .isEqualTo(TrafficClass.of(3, Optional.empty()));
    }

    /** Guards against state that grows with the number of teams. */
    @Test
    void classesBeyondTheBoundCountAsOne() {
        for (int i = 0; i < ClassDemand.MAX_CLASSES; i++) {
            request(traffic(2, "t" + i));
        }
        assertThat(request(traffic(2, "x")).traffic())
                .isEqualTo(request(traffic(2, "y")).traffic())
                .isEqualTo(TrafficClass.of(2, Optional.empty()));
    }

    @Test
    void aClassIsReportedOnceWhenItBeginsAndOnceWhenItCeasesToBeLimited() {
        load(3_000);
        assertThat(admission.changes(now)).hasSize(1).allMatch(c -> c.limited() && c.denied() > 0);
        load(1_000);
        assertThat(admission.changes(now)).isEmpty();
        now += 5_000;
        assertThat(admission.changes(now)).hasSize(1).allMatch(c -> !c.limited());
        assertThat(admission.changes(now)).isEmpty();
    }
}
