package org.fennelstage.gateway;

/** Thrown when a caller's request lacks a required header or contains an invalid value. */
public final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is missing or invalid
     */
    public MalformedRequestException(final String message) {
        super(message);
    }
}
