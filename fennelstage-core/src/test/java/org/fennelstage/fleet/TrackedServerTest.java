package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.Test;

class TrackedServerTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final TrackedServer server =
            TrackedServer.of(
                    new ServerEntry(
                            Incarnation.of(BackendServerId.of("i-1")),
                            ServiceName.of("portal"),
                            new ServerAddress("127.0.0.1", 9000),
                            DataCentreId.of("dc-a"),
                            "v1",
                            6,
                            false,
                            Position.of(0, 1)),
                    now::get,
                    Reachability.of(now::get));

    @Test
    void aNewServerIsNotSaturated() {
        assertThat(server.isSaturated()).isFalse();
    }

    @Test
    void aServerIsSaturatedForAWhileAfterAllSlotsWereTaken() {
        server.onSaturated();
        now.addAndGet(TrackedServer.SATURATION_MILLIS - 1);
        assertThat(server.isSaturated()).isTrue();
        server.onSaturated();
        now.addAndGet(TrackedServer.SATURATION_MILLIS);
        assertThat(server.isSaturated()).isFalse();
    }
}
