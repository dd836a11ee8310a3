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
    void requestsThatShareAPartGoToTheSameServerWhileItsLoadIsUsual() {
        final List<TrackedServer> servers = servers(13);
        final TrackedServer first = choose(servers, "topic").orElseThrow();
        assertThat(choose(servers, "topic")).contains(first);
    }

    /**
     * Symptom: one worker is buried while others are idle. Events: a topic is in the news and
     * everybody asks for it. Cause: the worker that has the topic in memory was chosen whatever its
     * load.
     */
    @Test
    void aTopicThatEverybodyAsksForIsSpreadOverServers() {
        final List<TrackedServer> servers = servers(13);
        final long work = job(prompt("topic")).readMillis();
        for (int i = 0; i < 130; i++) {
            choose(servers, "topic").orElseThrow().begin(work);
        }
        final int most = servers.stream().mapToInt(TrackedServer::running).max().orElseThrow();
        assertThat(most).isLessThanOrEqualTo(18);
    }

    @Test
    void plainRequestsStayInTheOwnDataCentreWhileItsServersAreAsIdleAsOthers() {
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
    void aServerThatCannotBeReachedIsChosenOnlyIfThereIsNoOther() {
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
    void aServerThatWasTriedIsChosenAgainOnlyIfThereIsNoOther() {
        final List<TrackedServer> servers = servers(2);
        assertThat(placement.choose(servers, job(prompt("t")), false, s -> s == servers.get(0)))
                .contains(servers.get(1));
        assertThat(placement.choose(servers.subList(0, 1), job(prompt("t")), false, s -> true))
                .contains(servers.get(0));
    }

    /**
     * Symptom: while a data centre is cut off, a payment waits in vain for a connection each
     * second. Cause: after its pause an unreachable worker was chosen like any other.
     */
    @Test
    void aServerThatCouldNotBeReachedIsTriedAgainOnlyByRequestsThatLoseLittleByIt() {
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
        assertThat(servers.get(0).health().tier()).isEqualTo(ServerHealth.Tier.SOUND);
    }

    /**
     * Symptom: a caption waits for five seconds while other workers are idle. Events: other VMs
     * have sent long prompts to the worker that likely holds the caption's shared part. Cause: only
     * this VM's own requests were known.
     */
    @Test
    void aShortRequestDoesNotWaitBehindLongPromptsOfOtherVms() {
        final LoadBoard board = LoadBoard.of(now::get, () -> 1);
        final Placement informed = Placement.of(OWN, new Random(7), board);
        final List<TrackedServer> servers = servers(13);
        final Job caption = job(prompt("topic"));
        final TrackedServer first =
                informed.choose(servers, caption, false, s -> false).orElseThrow();
        board.onReport(VmId.of("vm-2"), Map.of(first.entry().id(), new Load(2, 5_000)));
        final TrackedServer next =
                informed.choose(servers, caption, false, s -> false).orElseThrow();
        assertThat(next).isNotEqualTo(first);
        assertThat(informed.waitMillis(first, caption)).isGreaterThan(5_000);
    }

    @Test
    void aServerWhosePlacesAreAllTakenIsChosenAfterOneWithFreePlaces() {
        final LoadBoard board = LoadBoard.of(now::get, () -> 1);
        final Placement informed = Placement.of(OWN, new Random(7), board);
        final List<TrackedServer> servers = servers(2);
        board.onReport(VmId.of("vm-2"), Map.of(servers.get(0).entry().id(), new Load(64, 0)));
        for (int i = 0; i < 20; i++) {
            assertThat(informed.choose(servers, job(Optional.empty()), false, s -> false))
                    .contains(servers.get(1));
        }
    }

    private static void fill(final TrackedServer server, final long unreadMillis) {
        for (int i = 0; i < server.entry().capacity(); i++) {
            server.begin(i == 0 ? unreadMillis : 0);
        }
    }

    @Test
    void theLeastWaitIsThatOfTheFreestServerThatCanBeReached() {
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

    /**
     * Symptom: after all VMs were lost, callers with long prompts are refused for seconds while
     * workers are idle. Events: VMs start with a share of a core; their first answers come late
     * because they are slow themselves; the time to read a prompt seems longer than callers wait.
     * Cause: a request was refused for an estimate although a place was free.
     */
    @Test
    void whileAPlaceIsFreeNoWaitIsForetold() {
        final List<TrackedServer> servers = servers(2);
        fill(servers.get(0), 60_000);
        servers.get(1).begin(60_000);
        assertThat(placement.minWaitMillis(servers, job(prompt("t")))).isEmpty();
    }

    @Test
    void withoutServersThereIsNoChoice() {
        assertThat(placement.choose(List.of(), job(Optional.empty()), false, s -> false)).isEmpty();
    }

    private Optional<TrackedServer> choose(final List<TrackedServer> servers, final String shared) {
        return placement.choose(servers, job(prompt(shared)), false, s -> false);
    }
}
