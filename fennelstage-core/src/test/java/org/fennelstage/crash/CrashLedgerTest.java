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
    void aCrashCountsOnceHoweverOftenItIsReported() {
        ledger.onCrash(CONTENT, server(1));
        ledger.onCrash(CONTENT, server(1));
        assertThat(ledger.onCrash(CONTENT, server(2))).isEqualTo(2);
    }

    @Test
    void crashesOfTwoIncarnationsOfAServerCountSeparately() {
        final BackendServerId id = BackendServerId.of("i-1");
        ledger.onCrash(CONTENT, new Incarnation(id, 1));
        assertThat(ledger.onCrash(CONTENT, new Incarnation(id, 2))).isEqualTo(2);
    }

    /**
     * Guards against the quarantine of a frequent, harmless request that is among the requests of
     * servers that crash for other reasons.
     */
    @Test
    void aResponseClearsTheCrashesBeforeIt() {
        ledger.onCrash(CONTENT, server(1));
        ledger.onCrash(CONTENT, server(2));
        assertThat(ledger.onResponse(CONTENT)).containsOnly(server(1), server(2));
        assertThat(ledger.onCrash(CONTENT, server(3))).isEqualTo(1);
        assertThat(ledger.onResponse(CONTENT)).containsOnly(server(3));
        assertThat(ledger.onResponse(CONTENT)).isEmpty();
    }

    @Test
    void aClearedCrashDoesNotCountWhenItsReportArrivesLate() {
        ledger.clear(new ClearedCrashes(CONTENT, Set.of(server(1))));
        assertThat(ledger.onCrash(CONTENT, server(1))).isZero();
    }

    @Test
    void crashesExpireAfterTheirLifetime() {
        ledger.onCrash(CONTENT, server(1));
        now.addAndGet(CrashLedger.LIFETIME_MILLIS + 1);
        assertThat(ledger.crashes(CONTENT)).isZero();
    }

    /** Applies a crash report or a clearance, encoded as a number. */
    private static void apply(final CrashLedger target, final int message) {
        final Incarnation server = server(message / 2);
        if (message % 2 == 0) {
            target.onCrash(CONTENT, server);
        } else {
            target.clear(new ClearedCrashes(CONTENT, Set.of(server)));
        }
    }

    @Property(tries = 300)
    void orderAndDuplicatesOfReportsMakeNoDifference(
            @ForAll @Size(max = 20) final List<@IntRange(max = 11) Integer> messages,
            @ForAll final long seed) {
        final CrashLedger once = CrashLedger.of(() -> 0);
        messages.forEach(message -> apply(once, message));
        final List<Integer> duplicated = new ArrayList<>(messages);
        duplicated.addAll(messages);
        Collections.shuffle(duplicated, new Random(seed));
        final CrashLedger shuffledTwice = CrashLedger.of(() -> 0);
        duplicated.forEach(message -> apply(shuffledTwice, message));
        assertThat(shuffledTwice.crashes(CONTENT)).isEqualTo(once.crashes(CONTENT));
    }
}
