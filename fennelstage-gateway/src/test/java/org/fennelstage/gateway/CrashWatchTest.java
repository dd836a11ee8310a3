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

class CrashWatchTest {

    private static final Fingerprint CONTENT = new Fingerprint(7);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<ClearedCrashes> told = new ArrayList<>();
    private final CrashWatch answering = watch();
    private final CrashWatch other = watch();

    private CrashWatch watch() {
        return new CrashWatch(now::get, new HttpClient(group.next()));
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void workersEnd(final int count) {
        for (int i = 0; i < count; i++) {
            final Incarnation server = Incarnation.of(BackendServerId.of("i-" + i));
            final CrashReport report = new CrashReport(server, Set.of(CONTENT));
            answering.onReport(report);
            other.onReport(report);
        }
    }

    private void isAnswered() {
        answering.onFound(report -> {}, told::add);
        answering.onAnswered(CONTENT);
        told.forEach(other::onAcquittal);
    }

    @Test
    void aRequestUnderWhichThreeWorkersEndedIsRefused() {
        workersEnd(3);
        assertThat(answering.refusal(CONTENT)).isPresent();
        assertThat(other.refusal(CONTENT)).isPresent();
    }

    /** Guards against a sound request that a wave of crashes hits and all refuse for minutes. */
    @Test
    void anAnswerAfterTheThirdEndHasItServedAgainEverywhere() {
        workersEnd(3);
        isAnswered();
        assertThat(answering.refusal(CONTENT)).isEmpty();
        assertThat(other.refusal(CONTENT)).isEmpty();
    }

    @Test
    void threeFurtherEndsHaveItRefusedAgain() {
        workersEnd(3);
        isAnswered();
        for (int i = 10; i < 13; i++) {
            final Incarnation server = Incarnation.of(BackendServerId.of("i-" + i));
            answering.onReport(new CrashReport(server, Set.of(CONTENT)));
        }
        assertThat(answering.refusal(CONTENT)).isPresent();
    }
}
