package org.fennelstage.vm;

import java.util.List;

/** Thrown when the settings file is invalid or cannot be read. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final List<String> mistakes;

    /**
     * Creates the exception.
     *
     * @param mistakes all errors found, one line each
     */
    public SettingsException(final List<String> mistakes) {
        super(String.join("; ", mistakes));
        this.mistakes = List.copyOf(mistakes);
    }

    /**
     * Returns all errors found.
     *
     * @return one line per error
     */
    public List<String> mistakes() {
        return mistakes;
    }
}
