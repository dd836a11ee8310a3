package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Departure;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.store.StoredValue;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class ServerFeedTest {

    private static final ServiceName MODELS = ServiceName.of("models");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final GatewayState state = new GatewayState(now::get, TestBounds.BOUNDS);
    private final ServerFeed feed = new ServerFeed(state, () -> {});

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
        return state.servers().usable(MODELS).stream()
                .map(server -> server.entry().id().value())
                .toList();
    }

    /**
     * Guards against keeping the entry of a drained server after a failure of a relay, when the
     * store itself was available.
     */
    @Test
    void missingEntryIsRemovedAtOnceIfOnlyStoreCallFailed() {
        feed.onAll(List.of(entry("i-1"), entry("i-2")));
        feed.onStoreCallFailed();
        now.addAndGet(1_100);
        feed.onStoreAvailable();
        feed.onAll(List.of(entry("i-2")));
        assertThat(usable()).containsExactly("i-2");
    }

    private static StoredValue<ServerEntry> draining(final String id, final long revision) {
        final ServerEntry ready = entry(id).value().orElseThrow();
        final Position position = Position.of(0, revision);
        final ServerEntry entry =
                new ServerEntry(
                        ready.incarnation(),
                        ready.service(),
                        ready.address(),
                        ready.dataCentre(),
                        ready.version(),
                        ready.capacity(),
                        true,
                        position);
        return new StoredValue<>(id, position, Optional.of(entry), Optional.empty());
    }

    private static StoredValue<ServerEntry> removed(final String id, final long revision) {
        return new StoredValue<>(id, Position.of(0, revision), Optional.empty(), Optional.empty());
    }

    private static Departure departure(
            final String id, final long revision, final boolean removed) {
        final Incarnation server = Incarnation.of(BackendServerId.of(id));
        return new Departure(server, Position.of(0, revision), removed);
    }

    @Test
    void drainingAndRemovedServersArePassedOnAsDepartures() {
        final List<Departure> departures = new ArrayList<>();
        feed.onDeparture(departures::add);
        feed.onAll(List.of(entry("i-1"), entry("i-2"), entry("i-3")));
        feed.onChange(draining("i-1", 5));
        feed.onChange(removed("i-2", 6));
        feed.onAll(List.of(draining("i-1", 5), draining("i-3", 7)));
        feed.onChange(removed("i-1", 8));
        assertThat(departures)
                .containsExactly(
                        departure("i-1", 5, false),
                        departure("i-2", 6, true),
                        departure("i-3", 7, false));
    }

    /** Guards against losing running servers because one VM reads the removals of an outage. */
    @Test
    void entriesThatExpiredDuringAnOutageAreNoDepartures() {
        final List<Departure> departures = new ArrayList<>();
        feed.onDeparture(departures::add);
        feed.onAll(List.of(entry("i-1")));
        feed.onStoreUnavailable();
        feed.onChange(removed("i-1", 6));
        assertThat(departures).isEmpty();
    }

    /** Guards against losing all servers whose entries expired during an outage of the store. */
    @Test
    void missingEntryIsKeptAfterOutageCountedFromFirstFailedCall() {
        feed.onAll(List.of(entry("i-1"), entry("i-2")));
        feed.onStoreCallFailed();
        now.addAndGet(800);
        feed.onStoreUnavailable();
        now.addAndGet(300);
        feed.onStoreAvailable();
        feed.onAll(List.of(entry("i-2")));
        assertThat(usable()).containsExactly("i-1", "i-2");
        now.addAndGet(2_200);
        feed.removeExpired();
        assertThat(usable()).containsExactly("i-2");
    }

    /** Guards against a line at each list from an object whose name is that of no server. */
    @Test
    void anObjectWithTheNameOfNoServerIsNotLoggedHere() {
        final ListAppender<ILoggingEvent> log = new ListAppender<>();
        log.start();
        final Logger logger = (Logger) LoggerFactory.getLogger("fennelstage");
        logger.addAppender(log);
        try {
            feed.onMalformed(
                    new StoredValue<>(
                            "no name!", Position.of(0, 1), Optional.empty(), Optional.of("odd")));
        } finally {
            logger.detachAppender(log);
        }
        assertThat(log.list).isEmpty();
    }
}
