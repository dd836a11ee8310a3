package org.fennelstage.session;

/** Thrown when a session token is malformed or not signed by a key of the key ring. */
public final class InvalidTokenException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidTokenException(final String message) {
        super(message);
    }
}
