package org.fennelstage.ctl;

/** Thrown if a command fails; carries the exit code of the process. */
final class CommandException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CommandException(final ExitCode exitCode, final String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
