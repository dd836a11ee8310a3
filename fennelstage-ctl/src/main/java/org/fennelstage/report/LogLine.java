package org.fennelstage.report;

import java.time.Instant;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One event of a VM's log. Immutable and thread-safe.
 *
 * @param at when it was written, by the VM's clock
 * @param vm the VM, or the name of the file that held the line
 * @param code the event's number, such as {@code FS4012}
 * @param fields what the line says, by name
 */
public record LogLine(Instant at, String vm, String code, Map<String, String> fields) {

    public LogLine {
        Objects.requireNonNull(at, "at is null");
        Objects.requireNonNull(vm, "vm is null");
        Objects.requireNonNull(code, "code is null");
        fields = Map.copyOf(fields);
    }

    /**
     * Returns a field.
     *
     * @param name its name
     * @return its text, empty if the line has none
     */
    public Optional<String> field(final String name) {
        return Optional.ofNullable(fields.get(name));
    }

    /**
     * Returns a field that holds a whole number.
     *
     * @param name its name
     * @return the number, empty if the line has none
     */
    public OptionalLong number(final String name) {
        final Optional<String> text = field(name).filter(t -> t.matches("-?\\d{1,18}"));
        return text.isPresent()
                ? OptionalLong.of(Long.parseLong(text.get()))
                : OptionalLong.empty();
    }
}
