package org.fennelstage.route;

import org.fennelstage.outcome.Outcome;

/** A request that is refused before anything is done for it. */
final class RefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Outcome.NotRun outcome;

    RefusedException(final Outcome.NotRun outcome) {
        super(outcome.detail());
        this.outcome = outcome;
    }

    Outcome.NotRun outcome() {
        return outcome;
    }
}
