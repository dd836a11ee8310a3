package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.Test;

class ServerTableTest {

    private static final ServiceName SERVICE = ServiceName.of("models");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ServerTable table = ServerTable.of(now::get);

    static ServerEntry entry(final String id, final boolean leaving) {
        return new ServerEntry(
                Incarnation.of(BackendServerId.of(id)),
                SERVICE,
                new ServerAddress("127.0.0.1", 9000),
                DataCentreId.of("dc-a"),
                "v1",
                8,
                leaving,
                Position.of(0, 1));
    }

    @Test
    void aServerThatIsLeavingGetsNothingNew() {
        table.put(entry("a", false));
        table.put(entry("b", false));
        assertThat(ids()).containsExactly("a", "b");
        table.put(entry("a", true));
        assertThat(ids()).containsExactly("b");
    }

    @Test
    void aServerWhoseEntryIsRemovedGetsNothingNewAtOnce() {
        table.put(entry("a", false));
        table.remove(BackendServerId.of("a"));
        assertThat(ids()).isEmpty();
    }

    /**
     * Symptom: a worker that wants nothing for some seconds gets requests meanwhile. Events: its
     * entry lapses and is written again. Cause: the worker was begun anew with its entry.
     */
    @Test
    void aWorkerWhoseEntryComesBackStillWantsNothingForTheTimeThatItSaid() {
        table.put(entry("a", false));
        table.usable(SERVICE).get(0).onRejected(Duration.ofSeconds(5));
        table.remove(BackendServerId.of("a"));
        now.addAndGet(2_000);
        table.put(entry("a", false));
        final TrackedServer again = table.usable(SERVICE).get(0);
        assertThat(again.rejectsFor()).hasSeconds(3);
        again.onRejected(Duration.ofSeconds(1));
        assertThat(again.rejectsFor()).hasSeconds(3);
        now.addAndGet(3_000);
        assertThat(again.rejectsFor()).isZero();
    }

    @Test
    void aLaterLifeOfAWorkerIsBegunAnew() {
        table.put(entry("a", false));
        table.usable(SERVICE).get(0).onRejected(Duration.ofSeconds(5));
        table.remove(BackendServerId.of("a"));
        table.put(born("a", 7));
        assertThat(table.usable(SERVICE).get(0).rejectsFor()).isZero();
    }

    /**
     * Symptom: after a short outage of the store every request is rejected for seconds. Events: the
     * store is away, workers cannot renew, the store returns and drops their entries, the workers
     * register again. Cause: entries that lapsed for want of the store taken for workers gone.
     */
    @Test
    void entriesThatVanishAroundAnOutageStayUntilTheirServersHadTimeToReturn() {
        table.put(entry("a", false));
        table.put(entry("b", false));
        table.onStoreUnavailable();
        now.addAndGet(ServerTable.LAPSE_NEEDS_MILLIS);
        table.onStoreAvailable();
        table.replaceAll(List.of());
        assertThat(ids()).containsExactly("a", "b");
        table.put(entry("a", false));
        now.addAndGet(ServerTable.LAPSE_GRACE_MILLIS);
        assertThat(table.removeExpired()).containsExactly(BackendServerId.of("b"));
        assertThat(ids()).containsExactly("a");
    }

    /**
     * Symptom: a worker that left gets requests for two seconds more. Events: the store cuts its
     * watches, the worker leaves in the gap, the list that follows lacks it. Cause: every
     * interruption taken for an outage in which entries lapse.
     */
    @Test
    void afterAShortInterruptionAnEntryThatVanishedIsDroppedAtOnce() {
        table.put(entry("a", false));
        table.onStoreUnavailable();
        now.addAndGet(ServerTable.LAPSE_NEEDS_MILLIS - 1);
        table.onStoreAvailable();
        table.replaceAll(List.of());
        assertThat(ids()).isEmpty();
    }

    static ServerEntry born(final String id, final long bornMillis) {
        final ServerEntry plain = entry(id, false);
        return new ServerEntry(
                new Incarnation(plain.id(), bornMillis),
                plain.service(),
                plain.address(),
                plain.dataCentre(),
                plain.version(),
                plain.capacity(),
                plain.draining(),
                plain.position());
    }

    private TrackedServer server(final String id) {
        return table.find(BackendServerId.of(id)).orElseThrow();
    }

    /**
     * Symptom: a worker that came back sound is used after all others for seconds, and its count of
     * running requests never falls to zero. Events: a worker fails, crashes and starts again under
     * its id. Cause: evidence and counts were kept by id.
     */
    @Test
    void aWorkerThatStartedAgainBeginsWithNothingKnownOfIt() {
        table.put(born("a", 1));
        final TrackedServer former = server("a");
        former.begin(100);
        former.health().onUnreachable();
        final List<TrackedServer> ended = new ArrayList<>();
        table.onRestart(ended::add);
        table.put(born("a", 2));
        assertThat(server("a").running()).isZero();
        assertThat(server("a").health().tier()).isEqualTo(ServerHealth.Tier.SOUND);
        assertThat(ended).containsExactly(former);
        assertThat(former.isSuperseded()).isTrue();
        assertThat(server("a").isSuperseded()).isFalse();
    }

    @Test
    void anEntryOfAFormerLifeIsPassedOverAlsoAfterTheLaterOneIsGone() {
        table.put(born("a", 2));
        assertThat(table.put(born("a", 1))).isFalse();
        assertThat(server("a").entry().incarnation().startMillis()).isEqualTo(2);
        table.remove(BackendServerId.of("a"));
        assertThat(table.put(born("a", 1))).isFalse();
        assertThat(ids()).isEmpty();
        assertThat(table.put(born("a", 2))).isTrue();
    }

    @Test
    void anEntryThatTurnedBadNamesNoWorkerAlsoWhileTheStoreIsAway() {
        table.put(entry("a", false));
        table.put(entry("b", false));
        table.onStoreUnavailable();
        table.removeInvalid(BackendServerId.of("a"));
        assertThat(ids()).containsExactly("b");
    }

    @Test
    void nothingIsDroppedWhileTheStoreIsAway() {
        table.put(entry("a", false));
        table.onStoreUnavailable();
        table.remove(BackendServerId.of("a"));
        now.addAndGet(60_000);
        assertThat(table.removeExpired()).isEmpty();
        assertThat(ids()).containsExactly("a");
    }

    @Test
    void anEntryThatVanishesLongAfterAnOutageIsDroppedAtOnce() {
        table.put(entry("a", false));
        table.onStoreUnavailable();
        now.addAndGet(ServerTable.LAPSE_NEEDS_MILLIS);
        table.onStoreAvailable();
        now.addAndGet(ServerTable.LAPSE_GRACE_MILLIS);
        table.remove(BackendServerId.of("a"));
        assertThat(ids()).isEmpty();
    }

    private List<String> ids() {
        return table.usable(SERVICE).stream().map(s -> s.entry().id().value()).toList();
    }

    /**
     * Symptom: all requests are refused although all workers are well. Events: the store comes back
     * from a copy made before the workers registered. Cause: a store that was never seen away had
     * lost entries.
     */
    @Test
    void whatAStoreLosesByComingBackFromACopyIsKeptUntilItHadTimeToComeAgain() {
        table.put(entry("a", false));
        table.onStoreRestored();
        table.replaceAll(List.of());
        assertThat(ids()).containsExactly("a");
        now.addAndGet(ServerTable.LAPSE_GRACE_MILLIS);
        table.removeExpired();
        assertThat(ids()).isEmpty();
    }

    @Test
    void aWorkerThatLeftAndIsInTheCopyIsUsedOnlyIfItIsThereForLong() {
        table.put(entry("a", false));
        table.put(entry("a", true));
        table.remove(entry("a", true).id());
        table.onStoreRestored();
        table.replaceAll(List.of(entry("a", false)));
        assertThat(ids()).isEmpty();
        now.addAndGet(Departures.DOUBT_MILLIS);
        table.removeExpired();
        assertThat(ids()).containsExactly("a");
    }
}
