package org.fennelstage.report;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The log events of one request, from which the cause of its delay or failure is inferred.
 *
 * <p>Invariant: there is at least one event, and all belong to one request and are in order of
 * time. Immutable and thread-safe.
 */
public final class RequestTimeline {

    private static final String SENT = "FS4012";
    private static final String ATTEMPT_FAILED = "FS4013";
    private static final String FINISHED = "FS4014";
    private static final String ANSWER_DROPPED = "FS4015";
    private static final String REJECTED = "FS4011";

    private final List<LogLine> lines;

    private RequestTimeline(final List<LogLine> lines) {
        this.lines = lines;
    }

    /**
     * Returns the timeline of a request.
     *
     * @param lines the events of the request, in order of time; at least one
     * @return the timeline
     * @throws IllegalArgumentException if there are no events
     */
    public static RequestTimeline of(final List<LogLine> lines) {
        if (lines.isEmpty()) {
            throw new IllegalArgumentException("a timeline needs at least one log line");
        }
        return new RequestTimeline(List.copyOf(lines));
    }

    public String id() {
        return lines.get(0).field("request").orElse("");
    }

    public String vm() {
        return lines.get(0).vm();
    }

    public Instant startedAt() {
        return lines.get(0).at();
    }

    /**
     * Returns the route.
     *
     * @return the name of the route; a dash if no event names it
     */
    public String route() {
        return lines.stream().flatMap(l -> l.field("route").stream()).findFirst().orElse("-");
    }

    /**
     * Infers why the request was not served in time.
     *
     * @return the first cause that applies; {@link Cause#NONE} if it was served in time
     */
    public Cause cause() {
        final Optional<LogLine> end = first(FINISHED);
        if (end.isEmpty()) {
            return has(REJECTED) ? Cause.REFUSED : Cause.VM_ENDED;
        }
        if (isInTime(end.get())) {
            return Cause.NONE;
        }
        if (outcome(end.get()).equals("caller_gone")) {
            return Cause.CALLER_GONE;
        }
        if (!has(SENT)) {
            return Cause.REFUSED;
        }
        return causeFromAttempts();
    }

    /** Returns whether the caller got a successful response, in time or late. */
    boolean isServed() {
        return first(FINISHED).filter(RequestTimeline::isSuccess).isPresent();
    }

    private static boolean isInTime(final LogLine end) {
        final long objective = end.number("objective_ms").orElse(Long.MAX_VALUE);
        return isSuccess(end) && end.number("first_byte_ms").orElse(0) <= objective;
    }

    private static boolean isSuccess(final LogLine end) {
        final long status = end.number("status").orElse(0);
        return outcome(end).equals("answered") && status >= 200 && status < 300;
    }

    private Cause causeFromAttempts() {
        if (attemptFailedWith("silent for") || attemptFailedWith("cannot connect")) {
            return Cause.DARK_SERVER;
        }
        if (attemptFailedWith("RESPONDING")
                || attemptFailedWith("MAYBE_SENT")
                || attemptFailedWith("unsigned")) {
            return Cause.BROKEN_ANSWER;
        }
        if (has(ATTEMPT_FAILED) || endsWithServerError()) {
            return Cause.FAILED_ANSWER;
        }
        if (has(ANSWER_DROPPED)) {
            return Cause.LARGER_MODEL;
        }
        return has(SENT) ? Cause.WAITED : Cause.UNEXPLAINED;
    }

    private boolean endsWithServerError() {
        return first(FINISHED)
                        .flatMap(l -> l.field("status"))
                        .filter(s -> s.startsWith("5"))
                        .isPresent()
                && outcome(first(FINISHED).get()).equals("answered");
    }

    /**
     * Describes the events of the request and the cause.
     *
     * @return a heading, one line for each event, and the cause
     */
    public List<String> describe() {
        final List<String> descriptions = new ArrayList<>();
        descriptions.add("request " + id() + " of route " + route() + " at VM " + vm());
        for (final LogLine line : lines) {
            final long millis = line.at().toEpochMilli() - startedAt().toEpochMilli();
            descriptions.add(String.format("%7d ms  %s", millis, describeEvent(line)));
        }
        descriptions.add("conclusion: " + cause().text());
        return descriptions;
    }

    private static String describeEvent(final LogLine line) {
        return switch (line.code()) {
            case SENT ->
                    "sent to backend server %s for model %s; first byte expected in %s ms, %s"
                                    .formatted(
                                            text(line, "server"),
                                            text(line, "model"),
                                            text(line, "expected_ms"),
                                            text(line, "running"))
                            + " requests of this VM running there, "
                            + text(line, "remaining_ms")
                            + " ms until the deadline";
            case ATTEMPT_FAILED -> "attempt failed: %s".formatted(text(line, "detail"));
            case ANSWER_DROPPED ->
                    "answer of model %s with confidence %s discarded; sent to model %s"
                            .formatted(
                                    text(line, "model"),
                                    text(line, "confidence"),
                                    text(line, "asked_next"));
            case REJECTED -> "rejected: %s".formatted(text(line, "reason"));
            case FINISHED ->
                    "ended as %s with status %s after %s ms; first byte after %s ms, objective %s ms"
                            .formatted(
                                    text(line, "outcome"),
                                    text(line, "status"),
                                    text(line, "elapsed_ms"),
                                    text(line, "first_byte_ms"),
                                    text(line, "objective_ms"));
            default -> line.code() + " " + line.fields();
        };
    }

    private static String text(final LogLine line, final String field) {
        return line.field(field).orElse("-");
    }

    private static String outcome(final LogLine end) {
        return end.field("outcome").orElse("");
    }

    /** Returns whether the detail that the gateway logged for a failed attempt contains a text. */
    private boolean attemptFailedWith(final String detail) {
        return lines.stream()
                .filter(l -> l.code().equals(ATTEMPT_FAILED))
                .anyMatch(l -> l.field("detail").orElse("").contains(detail));
    }

    private boolean has(final String code) {
        return first(code).isPresent();
    }

    private Optional<LogLine> first(final String code) {
        return lines.stream().filter(l -> l.code().equals(code)).findFirst();
    }

    @Override
    public String toString() {
        return "RequestTimeline[" + id() + ", " + cause() + "]";
    }
}
