package org.fennelstage.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
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
    private static final RequestFingerprints REQUEST = RequestFingerprints.of(CONTENT);
    private static final Fingerprint FIRST = new Fingerprint(100);
    private static final Fingerprint SECOND = new Fingerprint(200);
    private static final Fingerprint OTHER_SECOND = new Fingerprint(201);

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final CrashLedger ledger = CrashLedger.of(now::get);

    private static Incarnation server(final int number) {
        return Incarnation.of(BackendServerId.of("i-" + number));
    }

    /** Reports that a server crashed while it had the request, and returns its crashes. */
    private int crash(final int number) {
        ledger.onCrash(new CrashReport(server(number), Set.of(REQUEST)));
        return ledger.crashes(CONTENT);
    }

    private static RequestFingerprints request(final long content, final Fingerprint... parts) {
        return new RequestFingerprints(new Fingerprint(content), List.of(parts));
    }

    private Set<Fingerprint> crash(final int server, final RequestFingerprints... requests) {
        return ledger.onCrash(new CrashReport(server(server), Set.of(requests)));
    }

    @Test
    void aCrashCountsOnceHoweverOftenItIsReported() {
        crash(1);
        crash(1);
        assertThat(crash(2)).isEqualTo(2);
    }

    @Test
    void crashesOfTwoIncarnationsOfAServerCountSeparately() {
        final BackendServerId id = BackendServerId.of("i-1");
        ledger.onCrash(new CrashReport(new Incarnation(id, 1), Set.of(REQUEST)));
        ledger.onCrash(new CrashReport(new Incarnation(id, 2), Set.of(REQUEST)));
        assertThat(ledger.crashes(CONTENT)).isEqualTo(2);
    }

    /**
     * Guards against the quarantine of a frequent, harmless request that is among the requests of
     * servers that crash for other reasons.
     */
    @Test
    void aResponseClearsTheCrashesBeforeIt() {
        crash(1);
        crash(2);
        assertThat(ledger.onResponse(REQUEST))
                .containsExactly(new ClearedCrashes(CONTENT, Set.of(server(1), server(2))));
        assertThat(crash(3)).isEqualTo(1);
        assertThat(ledger.onResponse(REQUEST))
                .containsExactly(new ClearedCrashes(CONTENT, Set.of(server(3))));
        assertThat(ledger.onResponse(REQUEST)).isEmpty();
    }

    @Test
    void aClearedCrashDoesNotCountWhenItsReportArrivesLate() {
        ledger.clear(new ClearedCrashes(CONTENT, Set.of(server(1))));
        assertThat(crash(1)).isZero();
    }

    @Test
    void crashesExpireAfterTheirLifetime() {
        crash(1);
        now.addAndGet(CrashLedger.LIFETIME_MILLIS + 1);
        assertThat(ledger.crashes(CONTENT)).isZero();
    }

    /** Reports crashes of servers that had a request with the parts, each time another one. */
    private Set<Fingerprint> crashAll(final int from, final int to, final Fingerprint... parts) {
        final Set<Fingerprint> found = new HashSet<>();
        for (int i = from; i <= to; i++) {
            found.addAll(crash(i, request(i, parts)));
        }
        return found;
    }

    @Test
    void aPartOfDifferentRequestsIsACauseFromTheFifthCrashOn() {
        assertThat(crashAll(1, 4, FIRST, SECOND)).isEmpty();
        assertThat(crashAll(5, 5, FIRST, SECOND)).containsExactly(SECOND);
    }

    /** Guards against rejecting a part of one request that is retried beside the cause. */
    @Test
    void aPartOfOneRequestIsNoCause() {
        final RequestFingerprints retried = request(1, FIRST, SECOND);
        final Set<Fingerprint> found = new HashSet<>();
        for (int i = 1; i <= 5; i++) {
            found.addAll(crash(i, retried));
        }
        assertThat(found).containsExactly(retried.content());
    }

    @Test
    void aFirstPartBeforeDifferentPartsIsACause() {
        final Set<Fingerprint> found = new HashSet<>();
        for (int i = 1; i <= 5; i++) {
            found.addAll(crash(i, request(i, FIRST, new Fingerprint(300 + i))));
        }
        assertThat(found).containsExactly(FIRST);
    }

    /** Guards against rejecting a first part because a server crashed for another reason. */
    @Test
    void aFirstPartIsNoCauseWhileALaterPartExplainsAllButOneCrash() {
        assertThat(crashAll(1, 4, FIRST, SECOND)).isEmpty();
        assertThat(crash(10, request(10, FIRST, OTHER_SECOND))).isEmpty();
        assertThat(crash(5, request(5, FIRST, SECOND))).containsExactly(SECOND);
    }

    /** Guards against rejecting what is at a server beside a known cause. */
    @Test
    void crashesWithAKnownCauseCountAgainstNothingElse() {
        crashAll(1, 5, FIRST, SECOND);
        for (int i = 6; i <= 10; i++) {
            assertThat(crash(i, request(i, FIRST, SECOND), request(10 + i, FIRST, OTHER_SECOND)))
                    .isEmpty();
        }
        assertThat(ledger.crashes(OTHER_SECOND)).isZero();
    }

    /** Guards against rejecting a first part that has more crashes than the cause behind it. */
    @Test
    void crashesWithAKnownLaterCauseDoNotCountAgainstAnEarlierPart() {
        crashAll(1, 5, FIRST, SECOND);
        assertThat(crash(6, request(6, FIRST, OTHER_SECOND))).isEmpty();
        assertThat(crash(7, request(7, FIRST, new Fingerprint(202)))).isEmpty();
    }

    /** Guards against a part that stays rejected though another one was at all its crashes. */
    @Test
    void aPartThatAPartWithMoreCrashesExplainsIsNamed() {
        ledger.addCause(OTHER_SECOND);
        for (int i = 1; i <= 5; i++) {
            crash(i, request(i, FIRST, SECOND), request(10 + i, FIRST, OTHER_SECOND));
        }
        crash(6, request(6, FIRST, SECOND));
        assertThat(ledger.explainedCauses()).containsExactly(OTHER_SECOND);
    }

    @Test
    void aContentWhoseCrashesALaterFoundPartExplainsIsNamed() {
        for (int i = 1; i <= 5; i++) {
            crash(i, REQUEST, request(i, FIRST, SECOND));
        }
        assertThat(ledger.explainedCauses()).contains(CONTENT);
    }

    @Test
    void aResponseToARequestWithAPartClearsThePart() {
        crashAll(1, 4, FIRST, SECOND);
        ledger.onResponse(request(9, FIRST, SECOND));
        assertThat(crash(5, request(5, FIRST, SECOND))).isEmpty();
        assertThat(ledger.crashes(SECOND)).isEqualTo(1);
    }

    /** Applies a crash report or a clearance, encoded as a number. */
    private static void apply(final CrashLedger target, final int message) {
        final Incarnation server = server(message / 2);
        if (message % 2 == 0) {
            target.onCrash(new CrashReport(server, Set.of(REQUEST)));
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
