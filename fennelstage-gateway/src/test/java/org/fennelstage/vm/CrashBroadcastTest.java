package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.fennelstage.crash.CrashReport;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class CrashBroadcastTest {

    private static final Incarnation SERVER = Incarnation.of(BackendServerId.of("i-1"));

    /** Longest message that is sent; bytes. */
    private static final int MAX_BYTES = 1_400;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<PeerMessage> sent = new ArrayList<>();
    private final CrashBroadcast broadcast =
            new CrashBroadcast(List::of, (message, to) -> sent.add(message), now::get);

    /** Returns a request with up to 16 shared parts. */
    private static RequestFingerprints request(final long content) {
        return new RequestFingerprints(
                new Fingerprint(content),
                LongStream.range(0, content % 17)
                        .mapToObj(part -> new Fingerprint(1_000 * content + part))
                        .toList());
    }

    /** Guards against a report that is lost with one datagram. */
    @Test
    void crashIsSentThreeTimes() {
        broadcast.onReport(new CrashReport(SERVER, Set.of(request(7))));
        assertThat(sent).hasSize(1);
        for (int i = 0; i < 20; i++) {
            now.addAndGet(100);
            broadcast.sendDue();
        }
        assertThat(sent).hasSize(3).containsOnly(sent.get(0));
    }

    @Test
    void largeReportIsSplitIntoSeveralDatagrams() {
        final Set<RequestFingerprints> requests =
                LongStream.range(0, 130)
                        .mapToObj(CrashBroadcastTest::request)
                        .collect(Collectors.toUnmodifiableSet());
        broadcast.onReport(new CrashReport(SERVER, requests));
        final Set<RequestFingerprints> read = new HashSet<>();
        for (final PeerMessage message : sent) {
            assertThat(message.text().length()).isLessThanOrEqualTo(MAX_BYTES);
            read.addAll(((PeerMessage.Crash) message).report().requests());
        }
        assertThat(read).isEqualTo(requests);
    }
}
