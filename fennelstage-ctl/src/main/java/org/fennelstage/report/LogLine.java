package org.fennelstage.report;

import java.time.Instant;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A log event of a VM. Immutable and thread-safe.
 *
 * @param at when it was written, by the VM's clock
 * @param vm the name of the VM, or of the log file if the line does not name the VM
 * @param code the code of the event, such as {@code FS4012}
 * @param fields the values of the event's fields, by field name
 */
public record LogLine(Instant at, String vm, String code, Map<String, String> fields) {

    public LogLine {
        Objects.requireNonNull(at, "at is null");
        Objects.requireNonNull(vm, "vm is null");
        Objects.requireNonNull(code, "code is null");
        fields = Map.copyOf(fields);
    }

    /**
     * Returns the value of a field.
     *
     * @param name the name of the field
     * @return the value; empty if the event has no such field
     */
    public Optional<String> field(final String name) {
        return Optional.ofNullable(fields.get(name));
    }

    /**
     * Returns the value of an integer field.
     *
     * @param name the name of the field
     * @return the number; empty if the event has no such field or its value is not an integer of at
     *     most 18 digits
     */
    public OptionalLong number(final String name) {
        final Optional<String> text = field(name).filter(t -> t.matches("-?\\d{1,18}"));
        return text.isPresent()
                ? OptionalLong.of(Long.parseLong(text.get()))
                : OptionalLong.empty();
    }
}
