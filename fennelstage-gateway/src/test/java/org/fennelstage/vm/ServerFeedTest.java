package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.gateway.Beliefs;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.store.StoredValue;
import org.junit.jupiter.api.Test;

class ServerFeedTest {

    private static final ServiceName MODELS = ServiceName.of("models");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Beliefs beliefs = new Beliefs(now::get, TestBounds.BOUNDS);
    private final ServerFeed feed = new ServerFeed(beliefs, () -> {});

    private static StoredValue<ServerEntry> entry(final String id) {
        final ServerEntry entry =
                new ServerEntry(
                        Incarnation.of(BackendServerId.of(id)),
                        MODELS,
                        new ServerAddress("10.0.0.1", 80),
                        DataCentreId.of("dc-a"),
                        "v1",
                        4,
                        false,
                        Position.of(0, 1));
        return new StoredValue<>(id, Position.of(0, 1), Optional.of(entry), Optional.empty());
    }

    private List<String> usable() {
        return beliefs.servers().usable(MODELS).stream()
                .map(server -> server.entry().id().value())
                .toList();
    }

    /**
     * Symptom: a backend server that left gets requests 3.3 s after it said so, where 3 s are
     * allowed, from one VM of 79.
     *
     * <p>Events: a VM asks the store through another VM of its data centre; that one is cut off,
     * and so is the next; the store itself is well all the time and its list is read 1 s after the
     * first call failed. In it the entry of a backend server is missing that left meanwhile.
     *
     * <p>Cause: any call that failed counted as the store's absence, and entries that vanish around
     * one are kept 2.2 s longer, since their servers may have been unable to renew them.
     */
    @Test
    void anEntryThatIsGoneAfterOnlyTheWayToTheStoreWasLostIsDroppedAtOnce() {
        feed.onAll(List.of(entry("i-1"), entry("i-2")));
        feed.onStoreCallFailed();
        now.addAndGet(1_100);
        feed.onStoreAvailable();
        feed.onAll(List.of(entry("i-2")));
        assertThat(usable()).containsExactly("i-2");
    }

    /**
     * Symptom: after an outage of the store no worker is left. Events: entries lapse while workers
     * cannot renew them; a watch fails first, and the lists after it.
     */
    @Test
    void anEntryThatIsGoneAfterTheStoreWasAwayIsKeptCountedFromTheFirstCallThatFailed() {
        feed.onAll(List.of(entry("i-1"), entry("i-2")));
        feed.onStoreCallFailed();
        now.addAndGet(800);
        feed.onStoreUnavailable();
        now.addAndGet(300);
        feed.onStoreAvailable();
        feed.onAll(List.of(entry("i-2")));
        assertThat(usable()).containsExactly("i-1", "i-2");
        now.addAndGet(2_200);
        feed.dropLapsed();
        assertThat(usable()).containsExactly("i-2");
    }
}
