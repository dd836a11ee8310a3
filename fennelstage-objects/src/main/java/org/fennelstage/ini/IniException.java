package org.fennelstage.ini;

import java.util.List;

/** An INI file with mistakes; all of them are listed. */
public final class IniException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<String> mistakes;

    /**
     * Creates an exception.
     *
     * @param mistakes one line each
     */
    public IniException(final List<String> mistakes) {
        super(String.join(System.lineSeparator(), mistakes));
        this.mistakes = List.copyOf(mistakes);
    }

    /**
     * Returns the mistakes, each with file, section, key, what was found and what is allowed.
     *
     * @return one line each
     */
    public List<String> mistakes() {
        return mistakes;
    }
}
