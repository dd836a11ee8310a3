package org.fennelstage.session;

/** A session token that no key of the ring signed. */
public final class InvalidTokenException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidTokenException(final String message) {
        super(message);
    }
}
