package org.fennelstage.vm;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.fennelstage.canary.EvidenceKey;
import org.fennelstage.canary.Measure;
import org.fennelstage.canary.MeasureTotals;
import org.fennelstage.canary.RolloutEvidence;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;

/**
 * What a VM has seen of the new version of a rollout.
 *
 * <p>Invariants: as for {@link PeerMessage}, except that only the worst routes and backend servers
 * are sent; the text fits into a datagram whatever the length of names. Immutable and thread-safe.
 *
 * @param evidence all that it has seen since the order
 */
record EvidenceMessage(RolloutEvidence evidence) implements PeerMessage {

    /**
     * Measure, route or backend server if it is for one, good responses, hundredths of their
     * evidence, and backend servers with hundredths of the evidence of bad ones.
     */
    private static final Pattern MEASURE_TOTALS =
            Pattern.compile(
                    "([A-Z_]{1,20})(?:/([A-Za-z0-9._-]{1,95}))?:([0-9]{1,9}):([0-9]{1,12})"
                            + "((?::[A-Za-z0-9][A-Za-z0-9._-]{0,95},[0-9]{1,12})*+)");

    /** Names of routes and servers that can be sent; what is seen of others stays with each VM. */
    private static final Pattern SENDABLE_SCOPE = Pattern.compile("[A-Za-z0-9._-]{1,95}");

    /** Service, version, era and revision, source, and totals of one measure or more. */
    private static final Pattern MESSAGE =
            Pattern.compile(
                    "evidence ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([^ ]{1,95}) ([0-9]{1,18})"
                            + " ([0-9]{1,18}) ([0-9]{1,18})((?: [^ ]++)++)");

    /** Backend servers with bad responses that are sent for each measure, the worst ones. */
    static final int MAX_SERVERS = 8;

    /** Routes, and backend servers in a load test, that are sent; those with most bad responses. */
    private static final int MAX_SCOPES = 6;

    /**
     * Length from which no further route or backend server is added; characters. Ids may be long,
     * and a message that exceeds a datagram is dropped.
     */
    private static final int FULL_LENGTH = 1_000;

    EvidenceMessage {
        Objects.requireNonNull(evidence, "evidence is null");
    }

    @Override
    public String text() {
        final StringBuilder text = new StringBuilder("evidence ");
        text.append(evidence.service()).append(' ').append(evidence.target());
        text.append(' ').append(evidence.position().era());
        text.append(' ').append(evidence.position().revision());
        text.append(' ').append(evidence.source());
        evidence.totals().entrySet().stream()
                .filter(entry -> entry.getKey().scope().isEmpty())
                .forEach(entry -> append(text, entry.getKey(), entry.getValue()));
        evidence.totals().entrySet().stream()
                .filter(entry -> !entry.getValue().bad().isEmpty())
                .filter(entry -> SENDABLE_SCOPE.matcher(entry.getKey().scope()).matches())
                .sorted(Comparator.comparingLong(entry -> -badSum(entry.getValue())))
                .limit(MAX_SCOPES)
                .filter(entry -> text.length() < FULL_LENGTH)
                .forEach(entry -> append(text, entry.getKey(), entry.getValue()));
        return text.toString();
    }

    private static long badSum(final MeasureTotals totals) {
        return totals.bad().values().stream().mapToLong(Long::longValue).sum();
    }

    private static void append(
            final StringBuilder text, final EvidenceKey key, final MeasureTotals totals) {
        text.append(' ').append(key);
        text.append(':').append(totals.goodResponses());
        text.append(':').append(totals.good());
        totals.bad().entrySet().stream()
                .sorted(Map.Entry.<BackendServerId, Long>comparingByValue().reversed())
                .limit(MAX_SERVERS)
                .filter(entry -> text.length() < FULL_LENGTH)
                .forEach(
                        entry ->
                                text.append(':')
                                        .append(entry.getKey().value())
                                        .append(',')
                                        .append(entry.getValue()));
    }

    /**
     * Parses a message.
     *
     * @param text the received text
     * @return the message, empty if the text is not one
     */
    static Optional<PeerMessage> parse(final String text) {
        final Matcher matcher = MESSAGE.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        final Map<EvidenceKey, MeasureTotals> totals = new HashMap<>();
        for (final String word : matcher.group(6).strip().split(" ")) {
            final Matcher part = MEASURE_TOTALS.matcher(word);
            // A newer version of this program may compare more.
            if (part.matches()) {
                measure(part.group(1))
                        .ifPresent(
                                measure -> totals.put(key(measure, part.group(2)), totals(part)));
            }
        }
        return Optional.of(
                new EvidenceMessage(
                        new RolloutEvidence(
                                ServiceName.of(matcher.group(1)),
                                matcher.group(2),
                                Position.of(
                                        Long.parseLong(matcher.group(3)),
                                        Long.parseLong(matcher.group(4))),
                                Long.parseLong(matcher.group(5)),
                                totals)));
    }

    private static Optional<Measure> measure(final String name) {
        return Stream.of(Measure.values()).filter(m -> m.name().equals(name)).findFirst();
    }

    private static EvidenceKey key(final Measure measure, final String scope) {
        return new EvidenceKey(measure, scope == null ? "" : scope);
    }

    private static MeasureTotals totals(final Matcher part) {
        final Map<BackendServerId, Long> bad = new HashMap<>();
        for (final String entry : part.group(5).split(":")) {
            if (!entry.isEmpty()) {
                final int comma = entry.indexOf(',');
                bad.put(
                        BackendServerId.of(entry.substring(0, comma)),
                        Long.parseLong(entry.substring(comma + 1)));
            }
        }
        return new MeasureTotals(Long.parseLong(part.group(3)), Long.parseLong(part.group(4)), bad);
    }
}
