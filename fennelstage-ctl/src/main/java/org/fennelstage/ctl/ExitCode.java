package org.fennelstage.ctl;

/** The exit codes of {@code fennelctl}. */
enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command failed. */
    REFUSED(1),
    /** The arguments are invalid. */
    USAGE(2),
    /** The outcome of the command is unknown. */
    UNKNOWN(3);

    private final int code;

    ExitCode(final int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
