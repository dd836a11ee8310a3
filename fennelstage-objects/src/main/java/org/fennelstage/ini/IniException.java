package org.fennelstage.ini;

import java.util.List;

/** Thrown if an INI file has mistakes; lists all of them. */
public final class IniException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<String> mistakes;

    /**
     * Creates an exception.
     *
     * @param mistakes the mistakes, one line each
     */
    public IniException(final List<String> mistakes) {
        super(String.join(System.lineSeparator(), mistakes));
        this.mistakes = List.copyOf(mistakes);
    }

    /**
     * Returns the mistakes, each with file, section, key, the value found and the values allowed.
     *
     * @return the mistakes, one line each
     */
    public List<String> mistakes() {
        return mistakes;
    }
}
