package org.fennelstage.standin;

import java.util.OptionalDouble;

/**
 * Reads numbers embedded in prompts and answers as {@code [[name=value]]}. A load generator sets
 * the difficulty of a prompt with them, and an engine the quality of its answer for the rating
 * service. Stateless and thread-safe.
 */
final class Marks {

    private Marks() {}

    static OptionalDouble read(final String text, final String name) {
        final String prefix = "[[" + name + "=";
        final int start = text.indexOf(prefix);
        final int end = start < 0 ? -1 : text.indexOf("]]", start);
        if (end < 0) {
            return OptionalDouble.empty();
        }
        try {
            return OptionalDouble.of(
                    Double.parseDouble(text.substring(start + prefix.length(), end)));
        } catch (final NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
