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

    static ServerEntry entry(final String id, final boolean draining) {
        return new ServerEntry(
                Incarnation.of(BackendServerId.of(id)),
                SERVICE,
                new ServerAddress("127.0.0.1", 9000),
                DataCentreId.of("dc-a"),
                "v1",
                8,
                draining,
                Position.of(0, 1));
    }

    @Test
    void drainingServerGetsNoNewRequests() {
        table.put(entry("a", false));
        table.put(entry("b", false));
        assertThat(ids()).containsExactly("a", "b");
        table.put(entry("a", true));
        assertThat(ids()).containsExactly("b");
    }

    @Test
    void serverWhoseEntryIsRemovedGetsNoNewRequests() {
        table.put(entry("a", false));
        table.remove(BackendServerId.of("a"));
        assertThat(ids()).isEmpty();
    }

    /**
     * Guards against losing the rejection time of a server whose entry expires and is written
     * again.
     */
    @Test
    void serverWhoseEntryIsWrittenAgainKeepsItsRejectionTime() {
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
    void laterIncarnationDoesNotKeepTheRejectionTime() {
        table.put(entry("a", false));
        table.usable(SERVICE).get(0).onRejected(Duration.ofSeconds(5));
        table.remove(BackendServerId.of("a"));
        table.put(startedAt("a", 7));
        assertThat(table.usable(SERVICE).get(0).rejectsFor()).isZero();
    }

    /**
     * Guards against removing running servers whose entries expired during an outage of the store.
     */
    @Test
    void entriesMissingAfterAnOutageAreKeptForTheGracePeriod() {
        table.put(entry("a", false));
        table.put(entry("b", false));
        table.onStoreUnavailable();
        now.addAndGet(ServerTable.MIN_OUTAGE_MILLIS);
        table.onStoreAvailable();
        table.replaceAll(List.of());
        assertThat(ids()).containsExactly("a", "b");
        table.put(entry("a", false));
        now.addAndGet(ServerTable.EXPIRY_GRACE_MILLIS);
        assertThat(table.removeExpired()).containsExactly(BackendServerId.of("b"));
        assertThat(ids()).containsExactly("a");
    }

    /** Guards against requests to a stopped server after an interruption too short for expiry. */
    @Test
    void entryMissingAfterAShortInterruptionIsRemovedAtOnce() {
        table.put(entry("a", false));
        table.onStoreUnavailable();
        now.addAndGet(ServerTable.MIN_OUTAGE_MILLIS - 1);
        table.onStoreAvailable();
        table.replaceAll(List.of());
        assertThat(ids()).isEmpty();
    }

    static ServerEntry startedAt(final String id, final long startMillis) {
        final ServerEntry entry = entry(id, false);
        return new ServerEntry(
                new Incarnation(entry.id(), startMillis),
                entry.service(),
                entry.address(),
                entry.dataCentre(),
                entry.version(),
                entry.capacity(),
                entry.draining(),
                entry.position());
    }

    private TrackedServer server(final String id) {
        return table.find(BackendServerId.of(id)).orElseThrow();
    }

    /** Guards against keeping health and counts of a former incarnation under the same id. */
    @Test
    void restartedServerStartsWithoutStateOfItsFormerIncarnation() {
        table.put(startedAt("a", 1));
        final TrackedServer former = server("a");
        former.begin(100);
        former.health().onUnreachable();
        final List<TrackedServer> ended = new ArrayList<>();
        table.onRestart(ended::add);
        table.put(startedAt("a", 2));
        assertThat(server("a").running()).isZero();
        assertThat(server("a").health().tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
        assertThat(ended).containsExactly(former);
        assertThat(former.isSuperseded()).isTrue();
        assertThat(server("a").isSuperseded()).isFalse();
    }

    @Test
    void entryOfAFormerIncarnationIsIgnoredEvenAfterTheLaterOneIsRemoved() {
        table.put(startedAt("a", 2));
        assertThat(table.put(startedAt("a", 1))).isFalse();
        assertThat(server("a").entry().incarnation().startMillis()).isEqualTo(2);
        table.remove(BackendServerId.of("a"));
        assertThat(table.put(startedAt("a", 1))).isFalse();
        assertThat(ids()).isEmpty();
        assertThat(table.put(startedAt("a", 2))).isTrue();
    }

    @Test
    void serverWithAnInvalidEntryIsRemovedEvenWhileTheStoreIsUnavailable() {
        table.put(entry("a", false));
        table.put(entry("b", false));
        table.onStoreUnavailable();
        table.removeInvalid(BackendServerId.of("a"));
        assertThat(ids()).containsExactly("b");
    }

    @Test
    void nothingIsRemovedWhileTheStoreIsUnavailable() {
        table.put(entry("a", false));
        table.onStoreUnavailable();
        table.remove(BackendServerId.of("a"));
        now.addAndGet(60_000);
        assertThat(table.removeExpired()).isEmpty();
        assertThat(ids()).containsExactly("a");
    }

    @Test
    void entryMissingAfterTheGracePeriodIsRemovedAtOnce() {
        table.put(entry("a", false));
        table.onStoreUnavailable();
        now.addAndGet(ServerTable.MIN_OUTAGE_MILLIS);
        table.onStoreAvailable();
        now.addAndGet(ServerTable.EXPIRY_GRACE_MILLIS);
        table.remove(BackendServerId.of("a"));
        assertThat(ids()).isEmpty();
    }

    private static ServerEntry entryAt(final String id, final long revision) {
        final ServerEntry first = entry(id, false);
        return new ServerEntry(
                first.incarnation(),
                first.service(),
                first.address(),
                first.dataCentre(),
                first.version(),
                first.capacity(),
                false,
                Position.of(0, revision));
    }

    private static Departure departure(final String id, final long revision) {
        final Incarnation server = Incarnation.of(BackendServerId.of(id));
        return new Departure(server, Position.of(0, revision), false);
    }

    @Test
    void serverThatDepartedGetsNoNewRequests() {
        table.put(entryAt("a", 1));
        table.put(entryAt("b", 1));
        assertThat(table.onDeparture(departure("a", 5))).isTrue();
        assertThat(ids()).containsExactly("b");
    }

    /** Guards against a late entry that brings a departed server back into use. */
    @Test
    void entryWrittenBeforeADepartureDoesNotEndIt() {
        table.put(entryAt("a", 1));
        table.onDeparture(departure("a", 5));
        table.put(entryAt("a", 4));
        assertThat(ids()).isEmpty();
    }

    @Test
    void entryWrittenAfterADepartureEndsIt() {
        table.put(entryAt("a", 1));
        table.onDeparture(departure("a", 5));
        table.put(entryAt("a", 6));
        assertThat(ids()).containsExactly("a");
    }

    /** Guards against a late report that takes a server out of use that is ready again. */
    @Test
    void departureBeforeTheCurrentEntryIsIgnored() {
        table.put(entryAt("a", 6));
        assertThat(table.onDeparture(departure("a", 5))).isFalse();
        assertThat(ids()).containsExactly("a");
    }

    /** Guards against losing running servers whose entries expired during an outage. */
    @Test
    void removalReportedDuringAnOutageIsIgnored() {
        table.put(entryAt("a", 1));
        table.onStoreUnavailable();
        final Incarnation server = Incarnation.of(BackendServerId.of("a"));
        assertThat(table.onDeparture(new Departure(server, Position.of(0, 5), true))).isFalse();
        assertThat(ids()).containsExactly("a");
    }

    private List<String> ids() {
        return table.usable(SERVICE).stream().map(s -> s.entry().id().value()).toList();
    }

    /** Guards against removing running servers that a restored store does not list. */
    @Test
    void entriesMissingAfterARestoreAreKeptForTheGracePeriod() {
        table.put(entry("a", false));
        table.onStoreRestored();
        table.replaceAll(List.of());
        assertThat(ids()).containsExactly("a");
        now.addAndGet(ServerTable.EXPIRY_GRACE_MILLIS);
        table.removeExpired();
        assertThat(ids()).isEmpty();
    }

    @Test
    void drainedServerInARestoredStoreIsUsedOnlyAfterTheOverridePeriod() {
        table.put(entry("a", false));
        table.put(entry("a", true));
        table.remove(entry("a", true).id());
        table.onStoreRestored();
        table.replaceAll(List.of(entry("a", false)));
        assertThat(ids()).isEmpty();
        now.addAndGet(DrainOverrides.OVERRIDE_MILLIS);
        table.removeExpired();
        assertThat(ids()).containsExactly("a");
    }
}
