package org.fennelstage.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * The objects of one kind that cannot be understood, and their log lines.
 *
 * <p>A bad object comes again with every list. Law: a line is written when the judgement of an
 * object changes and never otherwise, so that a fleet that lists often does not drown its log.
 * Confined to the event loop.
 */
final class MalformedObjects {

    /** Objects remembered; beyond it no line is written, which bounds memory and log alike. */
    private static final int MOST_KEPT = 1_000;

    private final String kind;
    private final Map<String, String> problems = new HashMap<>();

    private MalformedObjects(final String kind) {
        this.kind = kind;
    }

    static MalformedObjects empty(final String kind) {
        return new MalformedObjects(Objects.requireNonNull(kind, "kind is null"));
    }

    /** Forgets objects that are not in a complete list. */
    void keep(final List<? extends StoredValue<?>> present) {
        if (!problems.isEmpty()) {
            final Set<String> names =
                    present.stream().map(StoredValue::name).collect(Collectors.toSet());
            problems.keySet().retainAll(names);
        }
    }

    /** Notes the present judgement of an object. */
    void note(final StoredValue<?> value) {
        if (value.problem().isPresent()) {
            noteBad(value, value.problem().get());
        } else if (problems.remove(value.name()) != null) {
            EventLog.write(
                    Event.OBJECT_VALID,
                    "kind",
                    kind,
                    "name",
                    value.name(),
                    "revision",
                    value.position());
        }
    }

    private void noteBad(final StoredValue<?> value, final String problem) {
        final boolean known = problem.equals(problems.get(value.name()));
        if (known || problems.size() >= MOST_KEPT) {
            return;
        }
        problems.put(value.name(), problem);
        EventLog.write(
                Event.OBJECT_MALFORMED,
                "kind",
                kind,
                "name",
                value.name(),
                "revision",
                value.position(),
                "problem",
                problem);
    }

    @Override
    public String toString() {
        return "MalformedObjects[" + kind + ", " + problems.size() + "]";
    }
}
