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
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.http.HttpClient;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {

    private static final RequestFingerprints REQUEST = RequestFingerprints.of(new Fingerprint(7));

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
            final CrashReport report = new CrashReport(server, Set.of(REQUEST));
            responding.onReport(report);
            other.onReport(report);
        }
    }

    private void receiveResponse() {
        responding.onDetected(report -> {}, cleared::add);
        responding.onResponse(REQUEST);
        cleared.forEach(other::onClearedCrashes);
    }

    @Test
    void aRequestWithThreeCrashesIsRejected() {
        crashServers(3);
        assertThat(responding.rejectionTime(REQUEST)).isPresent();
        assertThat(other.rejectionTime(REQUEST)).isPresent();
    }

    /** Guards against a long quarantine of a request that was hit by crashes it did not cause. */
    @Test
    void aResponseAfterTheThirdCrashEndsTheQuarantineEverywhere() {
        crashServers(3);
        receiveResponse();
        assertThat(responding.rejectionTime(REQUEST)).isEmpty();
        assertThat(other.rejectionTime(REQUEST)).isEmpty();
    }

    @Test
    void threeFurtherCrashesQuarantineItAgain() {
        crashServers(3);
        receiveResponse();
        for (int i = 10; i < 13; i++) {
            final Incarnation server = Incarnation.of(BackendServerId.of("i-" + i));
            responding.onReport(new CrashReport(server, Set.of(REQUEST)));
        }
        assertThat(responding.rejectionTime(REQUEST)).isPresent();
    }

    private static RequestFingerprints withPart(final long content) {
        return new RequestFingerprints(new Fingerprint(content), List.of(new Fingerprint(99)));
    }

    private void crashWithPart(final int from, final int to) {
        for (int i = from; i < to; i++) {
            final Incarnation server = Incarnation.of(BackendServerId.of("i-" + i));
            responding.onReport(new CrashReport(server, Set.of(withPart(i))));
        }
    }

    @Test
    void aRequestThatHasNotArrivedBeforeIsRejectedForItsPart() {
        crashWithPart(0, 5);
        assertThat(responding.rejectionTime(withPart(50))).isPresent();
        assertThat(responding.takeTrial(withPart(50))).isEmpty();
    }

    @Test
    void aTrialLetsOneRequestThrough() {
        crashWithPart(0, 5);
        responding.allowTrial(new Fingerprint(99));
        assertThat(responding.takeTrial(withPart(50))).isNotEmpty();
        assertThat(responding.takeTrial(withPart(51))).isEmpty();
    }

    @Test
    void aResponseWithThePartReleasesItEverywhere() {
        crashWithPart(0, 5);
        final List<Fingerprint> released = new ArrayList<>();
        responding.onReleased(released::add);
        responding.onResponse(withPart(50));
        assertThat(responding.rejectionTime(withPart(51))).isEmpty();
        assertThat(released).containsExactly(new Fingerprint(99));
    }

    /**
     * Guards against a part that a VM learned from the store and that no response could release.
     */
    @Test
    void aResponseReleasesAPartOfWhichThisVmSawNoCrash() {
        responding.quarantine(new Fingerprint(99), "store");
        responding.onResponse(withPart(50));
        assertThat(responding.rejectionTime(withPart(51))).isEmpty();
    }
}
