package org.fennelstage.objects;

/** Thrown if bytes from the object API or a peer do not encode a value of the expected type. */
public final class MalformedValueException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedValueException(final String what, final Throwable cause) {
        super("malformed " + what + ": " + cause.getMessage(), cause);
    }
}
