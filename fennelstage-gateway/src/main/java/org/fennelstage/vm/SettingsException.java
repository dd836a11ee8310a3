package org.fennelstage.vm;

import java.util.List;

/** The settings file cannot be used. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final List<String> mistakes;

    /**
     * Creates the exception.
     *
     * @param mistakes every mistake found, one line each
     */
    public SettingsException(final List<String> mistakes) {
        super(String.join("; ", mistakes));
        this.mistakes = List.copyOf(mistakes);
    }

    /**
     * Returns every mistake found.
     *
     * @return one line each
     */
    public List<String> mistakes() {
        return mistakes;
    }
}
