package org.fennelstage.ctl;

/** A command that could not do what it was asked. */
final class CommandException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Exit exit;

    CommandException(final Exit exit, final String message) {
        super(message);
        this.exit = exit;
    }

    Exit exit() {
        return exit;
    }
}
