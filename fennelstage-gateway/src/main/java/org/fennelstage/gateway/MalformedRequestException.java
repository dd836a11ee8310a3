package org.fennelstage.gateway;

/** A caller's request lacks what every request needs. */
public final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is missing or wrong
     */
    public MalformedRequestException(final String message) {
        super(message);
    }
}
