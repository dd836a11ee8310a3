package org.fennelstage.id;

import java.util.regex.Pattern;

/** The rule for names of every kind. Stateless and thread-safe. */
final class Names {

    private static final int MAX_LENGTH = 96;
    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Names() {}

    static void check(final String kind, final String value) {
        if (value.length() > MAX_LENGTH || !VALID.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "invalid "
                            + kind
                            + " '"
                            + value
                            + "': allowed are letters, digits, '.', '_' and '-', at most "
                            + MAX_LENGTH);
        }
    }
}
