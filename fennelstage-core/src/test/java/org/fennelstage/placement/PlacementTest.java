package org.fennelstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Reachability;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;

class PlacementTest {

    private static final DataCentreId OWN = DataCentreId.of("dc-a");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Placement placement = Placement.of(OWN, new Random(7), LoadBoard.empty());

    private List<TrackedServer> servers(final int count) {
        final List<TrackedServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(
                    TrackedServer.of(
                            new ServerEntry(
                                    Incarnation.of(BackendServerId.of("s-" + i)),
                                    ServiceName.of("models"),
                                    new ServerAddress("127.0.0.1", 9000 + i),
                                    DataCentreId.of(i % 3 == 0 ? "dc-a" : "dc-b"),
                                    "v1",
                                    64,
                                    false,
                                    Position.of(0, 1)),
                            now::get,
                            Reachability.of(now::get)));
        }
        return servers;
    }

    private static Optional<Prompt> prompt(final String shared) {
        return Optional.of(
                new Prompt(
                        List.of(new PromptPart(shared, 5_000), new PromptPart("own", 100)),
                        5_100,
                        100));
    }

    private static Job job(final Optional<Prompt> prompt) {
        return new Job(prompt, Optional.empty(), true, 0.1, 200);
    }

    @Test
    void requestsThatShareAPromptPartGoToTheSameServer() {
        final List<TrackedServer> servers = servers(13);
        final TrackedServer first = choose(servers, "topic").orElseThrow();
        assertThat(choose(servers, "topic")).contains(first);
    }

    /** Guards against overloading the server that likely has a popular prompt part cached. */
    @Test
    void popularPromptPartIsSpreadOverServers() {
        final List<TrackedServer> servers = servers(13);
        final long readMillis = job(prompt("topic")).readMillis();
        for (int i = 0; i < 130; i++) {
            choose(servers, "topic").orElseThrow().begin(readMillis);
        }
        final int max = servers.stream().mapToInt(TrackedServer::running).max().orElseThrow();
        assertThat(max).isLessThanOrEqualTo(18);
    }

    @Test
    void requestsPreferTheOwnDataCentreAtEqualLoad() {
        final List<TrackedServer> servers = servers(3);
        final TrackedServer chosen =
                placement.choose(servers, job(Optional.empty()), false, s -> false).orElseThrow();
        assertThat(chosen.entry().dataCentre()).isEqualTo(OWN);
        chosen.begin(1);
        final TrackedServer next =
                placement.choose(servers, job(Optional.empty()), false, s -> false).orElseThrow();
        assertThat(next.entry().dataCentre()).isNotEqualTo(OWN);
    }

    @Test
    void unreachableServerIsChosenOnlyIfThereIsNoOther() {
        final List<TrackedServer> servers = servers(2);
        servers.get(0).health().onUnreachable();
        for (int i = 0; i < 20; i++) {
            assertThat(placement.choose(servers, job(Optional.empty()), false, s -> false))
                    .contains(servers.get(1));
        }
        assertThat(
                        placement.choose(
                                servers.subList(0, 1), job(Optional.empty()), false, s -> false))
                .contains(servers.get(0));
    }

    @Test
    void excludedServerIsChosenOnlyIfThereIsNoOther() {
        final List<TrackedServer> servers = servers(2);
        assertThat(placement.choose(servers, job(prompt("t")), false, s -> s == servers.get(0)))
                .contains(servers.get(1));
        assertThat(placement.choose(servers.subList(0, 1), job(prompt("t")), false, s -> true))
                .contains(servers.get(0));
    }

    /** Guards against requests that find no room and are lost at a server that fails. */
    @Test
    void aServerThatFailsMostRequestsIsNoAlternativeToAnExcludedOne() {
        final List<TrackedServer> servers = servers(2);
        for (int i = 0; i < 10; i++) {
            servers.get(1).health().onEnd(true, 0);
        }
        assertThat(
                        placement.choose(
                                servers, job(Optional.empty()), false, s -> s == servers.get(0)))
                .contains(servers.get(0));
    }

    @Test
    void aServerThatFailsFewerRequestsIsAnAlternativeToAnExcludedOne() {
        final List<TrackedServer> servers = servers(2);
        servers.get(1).health().onEnd(true, 0);
        servers.get(1).health().onEnd(true, 0);
        assertThat(
                        placement.choose(
                                servers, job(Optional.empty()), false, s -> s == servers.get(0)))
                .contains(servers.get(1));
    }

    /** Guards against rejections of all requests of a service whose servers fail alike. */
    @Test
    void aServerThatFailsMostRequestsIsChosenIfAllFail() {
        final List<TrackedServer> servers = servers(2);
        for (int i = 0; i < 10; i++) {
            servers.forEach(server -> server.health().onEnd(true, 0));
        }
        assertThat(
                        placement.choose(
                                servers, job(Optional.empty()), false, s -> s == servers.get(0)))
                .contains(servers.get(1));
    }

    @Test
    void thereIsAMinWaitWhileASlotIsFreeAtAFailingServerOnly() {
        final List<TrackedServer> servers = servers(2);
        fill(servers.get(0), 0);
        for (int i = 0; i < 10; i++) {
            servers.get(1).health().onEnd(true, 0);
        }
        assertThat(placement.minWaitMillis(servers, job(Optional.empty()))).isPresent();
    }

    /** Guards against probing an unreachable server with requests that cannot afford a failure. */
    @Test
    void unreachableServerIsProbedOnlyByRequestsThatMayProbe() {
        final List<TrackedServer> servers = servers(2);
        servers.get(0).health().onUnreachable();
        now.addAndGet(500);
        for (int i = 0; i < 20; i++) {
            assertThat(placement.choose(servers, job(Optional.empty()), false, s -> false))
                    .contains(servers.get(1));
        }
        assertThat(placement.choose(servers, job(prompt("t")), true, s -> false))
                .contains(servers.get(0));
        assertThat(placement.choose(servers, job(prompt("t")), true, s -> false))
                .contains(servers.get(1));
        servers.get(0).health().onBytesReceived();
        assertThat(servers.get(0).health().tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    /** Guards against placing a short request behind long prompts that other VMs have sent. */
    @Test
    void shortRequestDoesNotWaitBehindLongPromptsOfOtherVms() {
        final LoadBoard board = LoadBoard.of(now::get, () -> 1);
        final Placement withReports = Placement.of(OWN, new Random(7), board);
        final List<TrackedServer> servers = servers(13);
        final Job shortJob = job(prompt("topic"));
        final TrackedServer first =
                withReports.choose(servers, shortJob, false, s -> false).orElseThrow();
        board.onReport(VmId.of("vm-2"), Map.of(first.entry().id(), new Load(2, 5_000)));
        final TrackedServer next =
                withReports.choose(servers, shortJob, false, s -> false).orElseThrow();
        assertThat(next).isNotEqualTo(first);
        assertThat(withReports.waitMillis(first, shortJob)).isGreaterThan(5_000);
    }

    @Test
    void fullServerIsChosenAfterOneWithFreeSlots() {
        final LoadBoard board = LoadBoard.of(now::get, () -> 1);
        final Placement withReports = Placement.of(OWN, new Random(7), board);
        final List<TrackedServer> servers = servers(2);
        board.onReport(VmId.of("vm-2"), Map.of(servers.get(0).entry().id(), new Load(64, 0)));
        for (int i = 0; i < 20; i++) {
            assertThat(withReports.choose(servers, job(Optional.empty()), false, s -> false))
                    .contains(servers.get(1));
        }
    }

    private static void fill(final TrackedServer server, final long unreadMillis) {
        for (int i = 0; i < server.entry().capacity(); i++) {
            server.begin(i == 0 ? unreadMillis : 0);
        }
    }

    @Test
    void minWaitIsThatOfTheLeastLoadedReachableServer() {
        final List<TrackedServer> servers = servers(2);
        fill(servers.get(0), 4_000);
        fill(servers.get(1), 100);
        assertThat(placement.minWaitMillis(servers, job(prompt("t"))).orElseThrow())
                .isLessThan(1_000);
        servers.get(1).health().onUnreachable();
        assertThat(placement.minWaitMillis(servers, job(prompt("t"))).orElseThrow())
                .isGreaterThan(3_500);
        servers.get(0).health().onUnreachable();
        assertThat(placement.minWaitMillis(servers, job(prompt("t")))).isEmpty();
    }

    /** Guards against rejecting requests because of an overestimated wait while a slot is free. */
    @Test
    void thereIsNoMinWaitWhileASlotIsFree() {
        final List<TrackedServer> servers = servers(2);
        fill(servers.get(0), 60_000);
        servers.get(1).begin(60_000);
        assertThat(placement.minWaitMillis(servers, job(prompt("t")))).isEmpty();
    }

    /** Guards against counting the requests ahead of one without a prompt twice. */
    @Test
    void aRequestWithoutAPromptWaitsForThoseAheadOfItOnly() {
        final TrackedServer server = servers(1).get(0);
        fill(server, 0);
        fill(server, 0);
        assertThat(placement.requestsAhead(server)).isEqualTo(65);
        assertThat(placement.waitMillis(server, job(Optional.empty()))).isEqualTo(65 * 200.0 / 64);
    }

    /** Guards against prompts that wait at a slow server while others are as busy but faster. */
    @Test
    void busyServersGetPromptsByTheirSpeed() {
        final List<TrackedServer> servers = servers(12);
        servers.get(3).onSlowness(2.2);
        for (int i = 0; i < 12 * 200; i++) {
            final Job job = job(prompt("t" + i));
            placement.choose(servers, job, false, s -> false).orElseThrow().begin(job.readMillis());
        }
        assertThat(servers.get(3).running() / 200.0).isBetween(0.3, 0.65);
    }

    /** Guards against a slow server that gets a full share of the requests without a prompt. */
    @Test
    void busyPlainServersGetRequestsByTheirSpeed() {
        final List<TrackedServer> servers = servers(4);
        servers.get(0).onSlowness(2);
        for (int i = 0; i < 4 * 200; i++) {
            placement
                    .choose(servers, job(Optional.empty()), false, s -> false)
                    .orElseThrow()
                    .begin(0);
        }
        assertThat(servers.get(0).running()).isBetween(100, 130);
    }

    @Test
    void expectedWaitGrowsWithTheSlowness() {
        final TrackedServer server = servers(1).get(0);
        fill(server, 100);
        final double usual = placement.waitMillis(server, job(prompt("t")));
        server.onSlowness(2.2);
        assertThat(placement.waitMillis(server, job(prompt("t")))).isEqualTo(2.2 * usual);
    }

    @Test
    void noRequestIsAheadWhileASlotIsFree() {
        final TrackedServer server = servers(1).get(0);
        server.begin(0);
        assertThat(placement.hasFreeSlot(server)).isTrue();
        assertThat(placement.requestsAhead(server)).isZero();
    }

    @Test
    void choiceIsEmptyWithoutServers() {
        assertThat(placement.choose(List.of(), job(Optional.empty()), false, s -> false)).isEmpty();
    }

    private Optional<TrackedServer> choose(final List<TrackedServer> servers, final String shared) {
        return placement.choose(servers, job(prompt(shared)), false, s -> false);
    }
}
