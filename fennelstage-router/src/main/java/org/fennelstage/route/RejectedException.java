package org.fennelstage.route;

import org.fennelstage.outcome.Outcome;

/** Thrown if a request is rejected before its execution starts. Immutable and thread-safe. */
final class RejectedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Outcome.NotRun outcome;

    RejectedException(final Outcome.NotRun outcome) {
        super(outcome.detail());
        this.outcome = outcome;
    }

    Outcome.NotRun outcome() {
        return outcome;
    }
}
