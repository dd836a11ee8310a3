package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.serving.WarmUp;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EligibilityTest {

    private static final DataCentreId DC = DataCentreId.of("dc-a");
    private static final WarmUp WARM_UP = new WarmUp(Duration.ofSeconds(3), 2);

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final AtomicBoolean storeUnavailable = new AtomicBoolean();
    private final Evacuations evacuations = Evacuations.empty(now::get);
    private final RequestShares shares = RequestShares.empty();
    private final Eligibility eligibility =
            new Eligibility(evacuations, shares, s -> Optional.of(WARM_UP), storeUnavailable::get);

    @BeforeEach
    void setVms() {
        shares.onVms(VmId.of("vm-1"), Set.of());
    }

    private TrackedServer server(final Duration warmUpLeft) {
        final ServerEntry entry =
                new ServerEntry(
                        Incarnation.of(BackendServerId.of("i-1")),
                        ServiceName.of("models"),
                        new ServerAddress("10.0.0.1", 80),
                        DC,
                        "v1",
                        24,
                        false,
                        warmUpLeft,
                        Position.of(0, 1));
        return TrackedServer.of(entry, now::get, Reachability.of(now::get));
    }

    @Test
    void warmedUpServerIsEligibleWithoutDelay() {
        final TrackedServer server = server(Duration.ZERO);
        server.begin(0);
        assertThat(eligibility.isEligible(server)).isTrue();
    }

    @Test
    void serverOfAnEvacuatedDataCentreIsNotEligibleForAnUnknownTime() {
        final TrackedServer server = server(Duration.ZERO);
        evacuations.begin(DC);
        assertThat(eligibility.isEligible(server)).isFalse();
        assertThat(eligibility.wait(server)).isEmpty();
    }

    @Test
    void serverThatIsWarmingUpIsEligibleAtItsWarmUpRate() {
        final TrackedServer server = server(Duration.ofSeconds(3));
        assertThat(eligibility.isEligible(server)).isTrue();
        server.begin(0);
        assertThat(eligibility.wait(server)).contains(Duration.ofMillis(600));
        now.addAndGet(600);
        assertThat(eligibility.isEligible(server)).isTrue();
    }

    @Test
    void serverIsUnrestrictedAfterItsWarmUp() {
        final TrackedServer server = server(Duration.ofSeconds(3));
        now.addAndGet(3_000);
        server.begin(0);
        assertThat(eligibility.isEligible(server)).isTrue();
    }

    @Test
    void rejectingServerIsNotEligible() {
        final TrackedServer server = server(Duration.ZERO);
        server.onRejected(Duration.ofSeconds(5));
        assertThat(eligibility.wait(server)).contains(Duration.ofSeconds(5));
    }

    @Test
    void reasonsAreCounted() {
        final TrackedServer warmingUp = server(Duration.ofSeconds(3));
        warmingUp.begin(0);
        final TrackedServer rejecting = server(Duration.ZERO);
        rejecting.onRejected(Duration.ofSeconds(1));
        final List<TrackedServer> servers = List.of(server(Duration.ZERO), warmingUp, rejecting);
        assertThat(eligibility.reasons(servers)).isEqualTo(new Eligibility.Reasons(0, 1, 1, 0));
        evacuations.begin(DC);
        assertThat(eligibility.reasons(servers)).isEqualTo(new Eligibility.Reasons(3, 0, 0, 0));
    }

    /** Guards against overloading servers that restarted before their evacuation ended. */
    @Test
    void serversAreTreatedAsWarmingUpWhenTheirEvacuationEnds() {
        final TrackedServer server = server(Duration.ZERO);
        eligibility.onEvacuationEnded(server);
        server.begin(0);
        assertThat(eligibility.isEligible(server)).isFalse();
    }

    /** Guards against overloading a restarted server whose entry cannot be read. */
    @Test
    void serverThatWasUnreachableIsTreatedAsWarmingUpWhileTheStoreIsUnavailable() {
        final TrackedServer server = server(Duration.ZERO);
        server.health().onUnreachable();
        server.begin(0);
        assertThat(eligibility.isEligible(server)).isTrue();
        storeUnavailable.set(true);
        assertThat(eligibility.isEligible(server)).isFalse();
        now.addAndGet(600);
        assertThat(eligibility.isEligible(server)).isTrue();
    }

    @Test
    void serverThatReportsALimitIsNotEligibleOnceTheShareIsUsedUp() {
        final TrackedServer server = server(Duration.ZERO);
        server.onLimit(new RateLimit(0.5));
        assertThat(eligibility.isEligible(server)).isTrue();
        server.begin(0);
        assertThat(eligibility.wait(server)).contains(Duration.ofSeconds(2));
        assertThat(eligibility.reasons(List.of(server)).limited()).isEqualTo(1);
        now.addAndGet(2_000);
        assertThat(eligibility.isEligible(server)).isTrue();
    }

    @Test
    void serverWithALimitOfWhichThisVmHasNoShareIsNotEligibleForAnUnknownTime() {
        shares.onVms(VmId.of("vm-1"), manyOtherVms());
        final TrackedServer server = server(Duration.ZERO);
        server.onLimit(new RateLimit(0));
        assertThat(eligibility.wait(server)).isEmpty();
    }

    /** Returns so many VMs that a single request is not this VM's. */
    private static Set<VmId> manyOtherVms() {
        return IntStream.range(2, 100)
                .mapToObj(i -> VmId.of("vm-" + i))
                .collect(Collectors.toSet());
    }
}
