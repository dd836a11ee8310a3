package org.fennelstage.ctl;

/** How a command ended; the process's exit code is its {@link #code}. */
enum Exit {
    DONE(0),
    REFUSED(1),
    USAGE(2),
    UNKNOWN(3);

    private final int code;

    Exit(final int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
