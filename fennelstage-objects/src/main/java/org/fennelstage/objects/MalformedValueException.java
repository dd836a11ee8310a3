package org.fennelstage.objects;

/** Bytes from the object API or a peer that are not the value they should be. */
public final class MalformedValueException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedValueException(final String what, final Throwable cause) {
        super("malformed " + what + ": " + cause.getMessage(), cause);
    }
}
