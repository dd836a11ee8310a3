package org.fennelstage.standin;

import java.util.OptionalDouble;

/**
 * Numbers written into prompts and answers as {@code [[name=value]]}, by which a load generator
 * tells the stand-ins how hard a prompt is and an engine tells the rating service how good its
 * answer is. Stateless and thread-safe.
 */
final class Marks {

    private Marks() {}

    static OptionalDouble read(final String text, final String name) {
        final String open = "[[" + name + "=";
        final int start = text.indexOf(open);
        final int end = start < 0 ? -1 : text.indexOf("]]", start);
        if (end < 0) {
            return OptionalDouble.empty();
        }
        try {
            return OptionalDouble.of(
                    Double.parseDouble(text.substring(start + open.length(), end)));
        } catch (final NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
