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
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class CrashNewsTest {

    private static final Incarnation SERVER = Incarnation.of(BackendServerId.of("i-1"));

    /** What a datagram may hold. */
    private static final int MOST_BYTES = 1_400;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<PeerMessage> told = new ArrayList<>();
    private final CrashNews news =
            new CrashNews(List::of, (message, to) -> told.add(message), now::get);

    /**
     * Symptom: a request ends a fourth and a fifth worker. Events: three VMs each see one end; a
     * datagram of one of them is lost. Cause: what was told once and lost was never told again.
     */
    @Test
    void anEndIsToldThreeTimesOverMoreThanHalfASecond() {
        news.onReport(new CrashReport(SERVER, Set.of(new Fingerprint(7))));
        assertThat(told).hasSize(1);
        for (int i = 0; i < 20; i++) {
            now.addAndGet(100);
            news.sendDue();
        }
        assertThat(told).hasSize(3).containsOnly(told.get(0));
    }

    @Test
    void whatOneDatagramCannotHoldGoesIntoSeveral() {
        final Set<Fingerprint> contents =
                LongStream.range(0, 130)
                        .mapToObj(Fingerprint::new)
                        .collect(Collectors.toUnmodifiableSet());
        news.onReport(new CrashReport(SERVER, contents));
        final Set<Fingerprint> read = new HashSet<>();
        for (final PeerMessage message : told) {
            assertThat(message.text().length()).isLessThanOrEqualTo(MOST_BYTES);
            read.addAll(((PeerMessage.Crash) message).report().contents());
        }
        assertThat(read).isEqualTo(contents);
    }
}
