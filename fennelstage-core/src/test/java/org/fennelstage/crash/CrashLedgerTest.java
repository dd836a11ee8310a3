package org.fennelstage.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class CrashLedgerTest {

    private static final Fingerprint CONTENT = new Fingerprint(7);

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final CrashLedger ledger = CrashLedger.of(now::get);

    private static Incarnation server(final int number) {
        return Incarnation.of(BackendServerId.of("i-" + number));
    }

    @Test
    void eachEndOfAWorkerCountsOnceHoweverOftenItIsTold() {
        ledger.onCrash(CONTENT, server(1));
        ledger.onCrash(CONTENT, server(1));
        assertThat(ledger.onCrash(CONTENT, server(2))).isEqualTo(2);
    }

    @Test
    void twoLivesOfAWorkerAreTwoEnds() {
        final BackendServerId id = BackendServerId.of("i-1");
        ledger.onCrash(CONTENT, new Incarnation(id, 1));
        assertThat(ledger.onCrash(CONTENT, new Incarnation(id, 2))).isEqualTo(2);
    }

    /**
     * Symptom: a lookup that a caller makes each second is refused for minutes. Events: workers end
     * for reasons of their own, each time with that lookup among what they have; it is answered
     * thousands of times between. Cause: ends were only ever added up.
     */
    @Test
    void anAnswerClearsARequestOfTheEndsBeforeIt() {
        ledger.onCrash(CONTENT, server(1));
        ledger.onCrash(CONTENT, server(2));
        assertThat(ledger.onResponse(CONTENT)).containsOnly(server(1), server(2));
        assertThat(ledger.onCrash(CONTENT, server(3))).isEqualTo(1);
        assertThat(ledger.onResponse(CONTENT)).containsOnly(server(3));
        assertThat(ledger.onResponse(CONTENT)).isEmpty();
    }

    @Test
    void anEndThatWasClearedCountsNoMoreWhenItsReportComesLate() {
        ledger.clear(new ClearedCrashes(CONTENT, Set.of(server(1))));
        assertThat(ledger.onCrash(CONTENT, server(1))).isZero();
    }

    @Test
    void endsAreForgottenAfterTheirTime() {
        ledger.onCrash(CONTENT, server(1));
        now.addAndGet(CrashLedger.LIFETIME_MILLIS + 1);
        assertThat(ledger.crashes(CONTENT)).isZero();
    }

    /** Gives a ledger some report or acquittal, drawn as a number. */
    private static void take(final CrashLedger by, final int message) {
        final Incarnation about = server(message / 2);
        if (message % 2 == 0) {
            by.onCrash(CONTENT, about);
        } else {
            by.clear(new ClearedCrashes(CONTENT, Set.of(about)));
        }
    }

    @Property(tries = 300)
    void theOrderAndTheRepeatsOfWhatIsToldMakeNoDifference(
            @ForAll @Size(max = 20) final List<@IntRange(max = 11) Integer> messages,
            @ForAll final long seed) {
        final CrashLedger one = CrashLedger.of(() -> 0);
        messages.forEach(message -> take(one, message));
        final List<Integer> again = new ArrayList<>(messages);
        again.addAll(messages);
        Collections.shuffle(again, new Random(seed));
        final CrashLedger other = CrashLedger.of(() -> 0);
        again.forEach(message -> take(other, message));
        assertThat(other.crashes(CONTENT)).isEqualTo(one.crashes(CONTENT));
    }
}
