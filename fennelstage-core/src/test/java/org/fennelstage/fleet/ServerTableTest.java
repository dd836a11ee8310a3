package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
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
                BackendServerId.of(id),
                SERVICE,
                new ServerAddress("127.0.0.1", 9000),
                DataCentreId.of("dc-a"),
                "v1",
                8,
                leaving,
                1);
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
     * Symptom: after a short outage of the store every request is rejected for seconds. Events: the
     * store is away, workers cannot renew, the store returns and drops their entries, the workers
     * register again. Cause: entries that lapsed for want of the store taken for workers gone.
     */
    @Test
    void entriesThatVanishAroundAnOutageStayUntilTheirServersHadTimeToReturn() {
        table.put(entry("a", false));
        table.put(entry("b", false));
        table.onStoreLost();
        now.addAndGet(ServerTable.LAPSE_NEEDS_MILLIS);
        table.onStoreBack();
        table.replaceAll(List.of());
        assertThat(ids()).containsExactly("a", "b");
        table.put(entry("a", false));
        now.addAndGet(ServerTable.LAPSE_GRACE_MILLIS);
        assertThat(table.dropLapsed()).containsExactly(BackendServerId.of("b"));
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
        table.onStoreLost();
        now.addAndGet(ServerTable.LAPSE_NEEDS_MILLIS - 1);
        table.onStoreBack();
        table.replaceAll(List.of());
        assertThat(ids()).isEmpty();
    }

    @Test
    void nothingIsDroppedWhileTheStoreIsAway() {
        table.put(entry("a", false));
        table.onStoreLost();
        table.remove(BackendServerId.of("a"));
        now.addAndGet(60_000);
        assertThat(table.dropLapsed()).isEmpty();
        assertThat(ids()).containsExactly("a");
    }

    @Test
    void anEntryThatVanishesLongAfterAnOutageIsDroppedAtOnce() {
        table.put(entry("a", false));
        table.onStoreLost();
        now.addAndGet(ServerTable.LAPSE_NEEDS_MILLIS);
        table.onStoreBack();
        now.addAndGet(ServerTable.LAPSE_GRACE_MILLIS);
        table.remove(BackendServerId.of("a"));
        assertThat(ids()).isEmpty();
    }

    private List<String> ids() {
        return table.usable(SERVICE).stream().map(s -> s.entry().id().value()).toList();
    }
}
