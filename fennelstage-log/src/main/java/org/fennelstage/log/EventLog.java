package org.fennelstage.log;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.MDC;

/**
 * Writes numbered events with named fields through {@link System.Logger}.
 *
 * <p>Fields are passed through the MDC, from which the JSON encoder writes them as separate fields.
 * Thread-safe.
 */
public final class EventLog {

    private static final String CODE = "event";
    private static final System.Logger LOGGER = System.getLogger("fennelstage");

    private EventLog() {}

    /**
     * Writes an event.
     *
     * @param event the event
     * @param fields alternating names and values
     * @throws IllegalArgumentException if a name has no value
     */
    public static void write(final Event event, final Object... fields) {
        if (!LOGGER.isLoggable(event.level())) {
            return;
        }
        final Map<String, String> named = named(fields);
        final StringBuilder message = new StringBuilder(event.code()).append(' ');
        message.append(event.text());
        named.forEach((name, value) -> message.append(' ').append(name).append('=').append(value));
        named.put(CODE, event.code());
        // A single call avoids taking the MDC's locks once per field.
        MDC.setContextMap(named);
        try {
            LOGGER.log(event.level(), message.toString());
        } finally {
            MDC.clear();
        }
    }

    private static Map<String, String> named(final Object... fields) {
        if (fields.length % 2 != 0) {
            throw new IllegalArgumentException(
                    "fields must alternate names and values, but there are " + fields.length);
        }
        final Map<String, String> named = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            named.put(String.valueOf(fields[i]), String.valueOf(fields[i + 1]));
        }
        return named;
    }
}
