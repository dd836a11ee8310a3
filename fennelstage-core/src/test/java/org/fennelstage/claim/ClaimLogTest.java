package org.fennelstage.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.fennelstage.id.RequestId;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;

class ClaimLogTest {

    @Test
    void allowsTheFirstHolderAndRejectsASecond() {
        final ClaimLog log = ClaimLog.empty();
        assertThat(log.allows(change("a", Claim.State.HELD))).isTrue();
        final ClaimLog held = log.advance(log.open().with(change("a", Claim.State.HELD)));
        assertThat(held.allows(change("b", Claim.State.HELD))).isFalse();
        assertThat(held.allows(change("a", Claim.State.DONE))).isTrue();
        assertThat(held.contains(change("a", Claim.State.HELD))).isTrue();
    }

    @Test
    void allowsAnotherHolderAfterARelease() {
        final ClaimLog released = withClaim(change("a", Claim.State.RELEASED));
        assertThat(released.allows(change("b", Claim.State.HELD))).isTrue();
    }

    /**
     * A claim that arrives after its own release would block the key: later requests would get the
     * outcome "unknown" although nothing ran.
     */
    @Test
    void rejectsADelayedClaimOfAHolderThatReleased() {
        final ClaimLog released = withClaim(change("a", Claim.State.RELEASED));
        assertThat(released.allows(change("a", Claim.State.HELD))).isFalse();
    }

    @Test
    void rejectsTheReleaseOfADoneClaim() {
        final ClaimLog done = withClaim(change("a", Claim.State.DONE));
        assertThat(done.allows(change("a", Claim.State.RELEASED))).isFalse();
    }

    @Test
    void findsClaimsOfSealedSegmentsAndPrefersLaterSegments() {
        final ClaimSegment first = ClaimSegment.empty(0).with(change("a", Claim.State.HELD)).seal();
        final ClaimLog log = ClaimLog.empty().advance(first);
        assertThat(log.open().number()).isEqualTo(1);
        assertThat(log.find("key")).map(Claim::state).contains(Claim.State.HELD);
        final ClaimLog later = log.advance(log.open().with(change("a", Claim.State.DONE)));
        assertThat(later.find("key")).map(Claim::state).contains(Claim.State.DONE);
    }

    @Test
    void sealedSegmentRejectsChanges() {
        final ClaimSegment sealed = ClaimSegment.empty(0).seal();
        assertThatThrownBy(() -> sealed.with(change("a", Claim.State.HELD)))
                .isInstanceOf(IllegalStateException.class);
    }

    private static ClaimLog withClaim(final ClaimChange change) {
        final ClaimLog log = ClaimLog.empty();
        return log.advance(log.open().with(change));
    }

    private static ClaimChange change(final String holder, final Claim.State state) {
        return new ClaimChange("key", new Claim(RequestId.of(holder), VmId.of("vm"), state, 1000));
    }
}
