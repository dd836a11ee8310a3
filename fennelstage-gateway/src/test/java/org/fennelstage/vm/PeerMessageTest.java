package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NotEmpty;
import org.fennelstage.canary.EvidenceKey;
import org.fennelstage.canary.Measure;
import org.fennelstage.canary.MeasureTotals;
import org.fennelstage.canary.RolloutAge;
import org.fennelstage.canary.RolloutEvidence;
import org.fennelstage.crash.ClearedCrashes;
import org.fennelstage.crash.CrashReport;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.fleet.Departure;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.Outcomes;
import org.fennelstage.fleet.Pace;
import org.fennelstage.fleet.RateLimit;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.store.StoreKind;
import org.junit.jupiter.api.Test;

class PeerMessageTest {

    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final EvidenceKey PACE = EvidenceKey.ofAllRoutes(Measure.PACE);

    @Property(tries = 200)
    void loadsRoundTrip(@ForAll final List<@IntRange(max = 999_999) Integer> counts) {
        final Map<BackendServerId, Load> loads = new HashMap<>();
        for (int i = 0; i < counts.size(); i++) {
            loads.put(BackendServerId.of("i-" + i), new Load(counts.get(i), counts.get(i) * 7L));
        }
        final PeerMessage message = new PeerMessage.Loads(VmId.of("edge-1"), loads);
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Property(tries = 200)
    void rolloutEvidenceRoundTrips(
            @ForAll @IntRange(max = 999_999) final int good,
            @ForAll @IntRange(max = EvidenceMessage.MAX_SERVERS) final int servers) {
        final Map<BackendServerId, Long> bad = new HashMap<>();
        for (int i = 0; i < servers; i++) {
            bad.put(BackendServerId.of("i-" + i), 304L * i);
        }
        final PeerMessage message = evidence(new MeasureTotals(good, good * 36L, bad));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    /** Guards against messages that are dropped because they are too long. */
    @Test
    void rolloutEvidenceNamesTheWorstServersOnly() {
        final Map<BackendServerId, Long> bad = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            bad.put(BackendServerId.of("i-" + i), 100L + i);
        }
        final PeerMessage message = evidence(new MeasureTotals(5, 180, bad));
        final EvidenceMessage received =
                (EvidenceMessage) PeerMessage.parse(message.text()).orElseThrow();
        assertThat(received.evidence().totals().get(PACE).bad())
                .hasSize(EvidenceMessage.MAX_SERVERS)
                .containsEntry(BackendServerId.of("i-59"), 159L);
    }

    /** Guards against messages that are dropped because ids are long. */
    @Test
    void rolloutEvidenceFitsIntoADatagramWithTheLongestIds() {
        final Map<BackendServerId, Long> bad = new HashMap<>();
        for (int i = 10; i < 70; i++) {
            bad.put(BackendServerId.of("i" + "x".repeat(93) + i), 9_999_999L);
        }
        final MeasureTotals totals = new MeasureTotals(999_999_999, 999_999_999_999L, bad);
        final Map<EvidenceKey, MeasureTotals> all = new HashMap<>();
        for (final Measure measure : Measure.values()) {
            all.put(EvidenceKey.ofAllRoutes(measure), totals);
            all.put(new EvidenceKey(measure, "r".repeat(95)), totals);
        }
        final PeerMessage message =
                new EvidenceMessage(
                        new RolloutEvidence(
                                ServiceName.of("s".repeat(96)),
                                "v".repeat(95),
                                Position.of(Long.MAX_VALUE / 10, Long.MAX_VALUE / 10),
                                1L << 50,
                                all));
        assertThat(message.text().length()).isLessThanOrEqualTo(PeerMessenger.MAX_BYTES);
        assertThat(PeerMessage.parse(message.text())).isPresent();
    }

    private static PeerMessage evidence(final MeasureTotals totals) {
        return new EvidenceMessage(
                new RolloutEvidence(
                        ServiceName.of("models"),
                        "v2",
                        Position.of(1, 20),
                        77,
                        Map.of(
                                PACE,
                                totals,
                                EvidenceKey.ofAllRoutes(Measure.FAILURE),
                                MeasureTotals.NONE,
                                new EvidenceKey(Measure.FAILURE, "r-1"),
                                new MeasureTotals(
                                        3, 108, Map.of(BackendServerId.of("i-1"), 304L)))));
    }

    @Property(tries = 200)
    void loadsWithOutcomesRoundTrip(
            @ForAll @IntRange(min = 1, max = 999_999) final int responses,
            @ForAll @IntRange(min = -999_999, max = 999_999) final int excess) {
        final Load load = new Load(2, 30, Outcomes.ofUnits(START_MILLIS, responses, excess));
        final PeerMessage message =
                new PeerMessage.LoadSums(
                        VmId.of("edge-1"),
                        1,
                        Map.of(
                                BackendServerId.of("i-1"),
                                load,
                                BackendServerId.of("i-2"),
                                new Load(4, 5)));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Property(tries = 200)
    void loadsWithPaceRoundTrip(
            @ForAll @IntRange(min = 1, max = 999_999) final int samples,
            @ForAll @IntRange(min = -999_999, max = 999_999) final int logSum,
            @ForAll final boolean withOutcomes) {
        final Outcomes outcomes =
                withOutcomes ? Outcomes.ofUnits(START_MILLIS, 450, -63) : Outcomes.NONE;
        final Load load = new Load(2, 30, outcomes, Pace.ofUnits(START_MILLIS, samples, logSum));
        final PeerMessage message =
                new PeerMessage.Loads(
                        VmId.of("edge-1"),
                        Map.of(
                                BackendServerId.of("i-1"),
                                load,
                                BackendServerId.of("i-2"),
                                new Load(4, 5, outcomes)));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    /** Guards against later fields that a pattern for loads alone would take for loads. */
    @Test
    void patternWithoutLaterFieldsFindsOnlyTheLoadsBesideThem() {
        final Pattern withoutOutcomes =
                Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]{0,95}),([0-9]{1,6}),([0-9]{1,9})");
        final Load load =
                new Load(
                        2,
                        30,
                        Outcomes.ofUnits(START_MILLIS, 450, -63),
                        Pace.ofUnits(START_MILLIS, 380, -12));
        final String text =
                new PeerMessage.Loads(
                                VmId.of("edge-1"),
                                Map.of(
                                        BackendServerId.of("i-1"), load,
                                        BackendServerId.of("i-2"), load))
                        .text();
        assertThat(withoutOutcomes.matcher(text).results().map(MatchResult::group))
                .containsExactlyInAnyOrder("i-1,2,30", "i-2,2,30");
    }

    @Test
    void unreachableRoundTrip() {
        final PeerMessage message =
                new PeerMessage.Unreachable(new Incarnation(BackendServerId.of("i-7"), 12));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Test
    void drainingRoundTrip() {
        final PeerMessage message =
                new PeerMessage.Draining(new Incarnation(BackendServerId.of("i-7"), 12));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Property(tries = 20)
    void departureRoundTrip(@ForAll final boolean removed) {
        final Incarnation server = new Incarnation(BackendServerId.of("i-7"), 12);
        final PeerMessage message =
                new PeerMessage.Departed(new Departure(server, Position.of(2, 40), removed));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Test
    void changesRoundTrip() {
        for (final StoreKind<?> kind : PeerMessage.REPORTED_KINDS) {
            final PeerMessage message = new PeerMessage.Changed(kind, Position.of(2, 40));
            assertThat(PeerMessage.parse(message.text())).contains(message);
        }
        assertThat(PeerMessage.parse("changed servers 2 40")).isEmpty();
    }

    @Property(tries = 200)
    void limitRoundTrip(@ForAll @DoubleRange(max = 999_999) final double rate) {
        final Incarnation server = new Incarnation(BackendServerId.of("i-7"), 12);
        final PeerMessage message = new PeerMessage.Limit(server, RateLimit.of(rate));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Test
    void endOfALimitRoundTrip() {
        final PeerMessage message =
                new PeerMessage.Limit(
                        new Incarnation(BackendServerId.of("i-7"), 12), Optional.empty());
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Test
    void rolloutAgeRoundTrip() {
        final PeerMessage message =
                new PeerMessage.Rollout(
                        new RolloutAge(
                                ServiceName.of("models"), "v2.1+b", Position.of(3, 77), 12_345));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Property(tries = 200)
    void crashRoundTrip(@ForAll @NotEmpty final Set<@NotEmpty List<Long>> requests) {
        final Set<RequestFingerprints> fingerprints =
                requests.stream().map(PeerMessageTest::request).collect(Collectors.toSet());
        final PeerMessage message =
                new PeerMessage.Crash(
                        new CrashReport(
                                new Incarnation(BackendServerId.of("i-7"), 12), fingerprints));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    private static RequestFingerprints request(final List<Long> bits) {
        final List<Fingerprint> fingerprints = bits.stream().map(Fingerprint::new).toList();
        return new RequestFingerprints(
                fingerprints.get(0), fingerprints.subList(1, fingerprints.size()));
    }

    @Test
    void crashesClearedRoundTrip() {
        final PeerMessage message =
                new PeerMessage.CrashesCleared(
                        new ClearedCrashes(
                                new Fingerprint(-1),
                                Set.of(
                                        new Incarnation(BackendServerId.of("i-7"), 12),
                                        new Incarnation(BackendServerId.of("i.8"), 0))));
        assertThat(PeerMessage.parse(message.text())).contains(message);
    }

    @Property(tries = 500)
    void arbitraryTextParsesWithoutException(@ForAll final String text) {
        assertThat(PeerMessage.parse(text)).isNotNull();
        assertThat(PeerMessage.parse("loads vm " + text)).isNotNull();
        assertThat(PeerMessage.parse("unreachable " + text)).isNotNull();
        assertThat(PeerMessage.parse("rollout " + text)).isNotNull();
        assertThat(PeerMessage.parse("crash " + text)).isNotNull();
        assertThat(PeerMessage.parse("leaving " + text)).isNotNull();
        assertThat(PeerMessage.parse("answered " + text)).isNotNull();
    }

    /** Guards against announcements that no other VM understands. */
    @Test
    void theAnnouncementOfCopiesParsesToItself() {
        final PeerMessage message = new PeerMessage.GivesCopies(VmId.of("edge-1"));
        assertThat(message.text()).isEqualTo("copies edge-1");
        assertThat(PeerMessage.parse(message.text())).contains(message);
        assertThat(PeerMessage.parse("copies ")).isEmpty();
    }
}
