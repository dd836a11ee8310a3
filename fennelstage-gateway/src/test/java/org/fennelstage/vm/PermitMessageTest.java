package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VmId;
import org.fennelstage.permit.PermitDecision;
import org.fennelstage.permit.PermitId;
import org.fennelstage.permit.PermitTerms;
import org.junit.jupiter.api.Test;

class PermitMessageTest {

    private static final Incarnation SERVER = new Incarnation(BackendServerId.of("i-7"), 12);
    private static final PermitTerms TERMS =
            new PermitTerms(6, Duration.ofMillis(200), Duration.ofMillis(1_200));

    @Property(tries = 200)
    void requestRoundTrip(
            @ForAll @LongRange(max = 1L << 50) final long number,
            @ForAll @IntRange(min = 1, max = 999_999) final int capacity,
            @ForAll @IntRange(max = 999_999_999) final int millis) {
        final PermitTerms terms =
                new PermitTerms(capacity, Duration.ofMillis(millis), Duration.ofMillis(millis / 2));
        final PeerMessage message =
                new PermitMessage.Request(new PermitId(VmId.of("edge-1"), number), SERVER, terms);
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Property(tries = 50)
    void requestRoundTripWithPriorityAndTeam(
            @ForAll @IntRange(max = TrafficClass.LEAST_URGENT) final int priority,
            @ForAll final boolean hasTeam) {
        final Optional<TeamId> team = hasTeam ? Optional.of(TeamId.of("t-1")) : Optional.empty();
        final PermitTerms terms = TERMS.of(TrafficClass.of(priority, team));
        final PeerMessage message =
                new PermitMessage.Request(new PermitId(VmId.of("edge-1"), 5), SERVER, terms);
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    /** Guards against messages that the previous version does not understand. */
    @Test
    void aRequestWithoutPriorityAndTeamHasThePreviousForm() {
        final PeerMessage message =
                new PermitMessage.Request(new PermitId(VmId.of("edge-1"), 5), SERVER, TERMS);
        assertThat(message.text()).isEqualTo("permit-request edge-1 5 i-7 12 6 200 1200");
    }

    @Test
    void aRequestWithPriorityButWithoutTeamFieldIsNoMessage() {
        assertThat(PeerMessage.parse("permit-request edge-1 5 i-7 12 6 200 1200 2")).isEmpty();
    }

    /** Guards against requests that do not fit into a datagram. */
    @Test
    void theLongestRequestFitsIntoADatagram() {
        final String longest = "x".repeat(96);
        final Incarnation server =
                new Incarnation(BackendServerId.of(longest), 999_999_999_999_999_999L);
        final PermitTerms terms =
                new PermitTerms(999_999, Duration.ofSeconds(999_999), Duration.ofSeconds(999_999))
                        .of(TrafficClass.of(99, Optional.of(TeamId.of(longest))));
        final PermitId permit = new PermitId(VmId.of(longest), 999_999_999_999_999_999L);
        assertThat(new PermitMessage.Request(permit, server, terms).text()).hasSizeLessThan(450);
    }

    @Property(tries = 200)
    void replyRoundTrip(
            @ForAll final boolean issued,
            @ForAll @IntRange(max = 999_999_999) final int requests,
            @ForAll @IntRange(max = 999_999_999) final int limit) {
        final PermitDecision decision =
                new PermitDecision(
                        issued, requests, limit, Duration.ofMillis(43), Duration.ofMillis(7));
        final PeerMessage message =
                new PermitMessage.Reply(
                        new PermitId(VmId.of("edge-1"), 5), SERVER, VmId.of("edge-2"), decision);
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Property(tries = 10)
    void returnRoundTrip(@ForAll @IntRange(max = 999_999_999) final int millis) {
        final PermitId permit = new PermitId(VmId.of("edge-1"), 5);
        final PeerMessage served =
                new PermitMessage.Return(permit, SERVER, Optional.of(Duration.ofMillis(millis)));
        final PeerMessage notServed = new PermitMessage.Return(permit, SERVER, Optional.empty());
        assertThat(PeerMessage.parse(served.text())).contains(served);
        assertThat(PeerMessage.parse(notServed.text())).contains(notServed);
    }

    @Test
    void aRequestWithoutSlotsIsNoMessage() {
        assertThat(PeerMessage.parse("permit-request edge-1 5 i-7 12 0 200 1200")).isEmpty();
    }
}
