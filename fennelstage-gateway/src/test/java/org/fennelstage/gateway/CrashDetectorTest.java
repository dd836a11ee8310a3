package org.fennelstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.crash.ClearedCrashes;
import org.fennelstage.crash.CrashReport;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.http.HttpClient;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {

    private static final Fingerprint FINGERPRINT = new Fingerprint(7);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<ClearedCrashes> cleared = new ArrayList<>();
    private final CrashDetector responding = detector();
    private final CrashDetector other = detector();

    private CrashDetector detector() {
        return new CrashDetector(now::get, new HttpClient(group.next()), () -> true);
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void crashServers(final int count) {
        for (int i = 0; i < count; i++) {
            final Incarnation server = Incarnation.of(BackendServerId.of("i-" + i));
            final CrashReport report = new CrashReport(server, Set.of(FINGERPRINT));
            responding.onReport(report);
            other.onReport(report);
        }
    }

    private void receiveResponse() {
        responding.onDetected(report -> {}, cleared::add);
        responding.onResponse(FINGERPRINT);
        cleared.forEach(other::onClearedCrashes);
    }

    @Test
    void aRequestWithThreeCrashesIsRejected() {
        crashServers(3);
        assertThat(responding.rejectionTime(FINGERPRINT)).isPresent();
        assertThat(other.rejectionTime(FINGERPRINT)).isPresent();
    }

    /** Guards against a long quarantine of a request that was hit by crashes it did not cause. */
    @Test
    void aResponseAfterTheThirdCrashEndsTheQuarantineEverywhere() {
        crashServers(3);
        receiveResponse();
        assertThat(responding.rejectionTime(FINGERPRINT)).isEmpty();
        assertThat(other.rejectionTime(FINGERPRINT)).isEmpty();
    }

    @Test
    void threeFurtherCrashesQuarantineItAgain() {
        crashServers(3);
        receiveResponse();
        for (int i = 10; i < 13; i++) {
            final Incarnation server = Incarnation.of(BackendServerId.of("i-" + i));
            responding.onReport(new CrashReport(server, Set.of(FINGERPRINT)));
        }
        assertThat(responding.rejectionTime(FINGERPRINT)).isPresent();
    }
}
