package org.fennelstage.id;

import java.util.regex.Pattern;

/**
 * Validates the text of identifiers: ASCII letters, digits, '.', '_' and '-', with a letter or
 * digit first, and a bounded length. Stateless and thread-safe.
 */
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
                            + "': must consist of letters, digits, '.', '_' and '-', start with a"
                            + " letter or digit and not be longer than "
                            + MAX_LENGTH
                            + " characters");
        }
    }
}
