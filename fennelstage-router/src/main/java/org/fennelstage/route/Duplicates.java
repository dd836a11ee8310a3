package org.fennelstage.route;

import org.fennelstage.claim.Claim;
import org.fennelstage.id.RequestId;
import org.fennelstage.outcome.Outcome;

/** What a caller is told whose idempotency key is taken. Stateless and thread-safe. */
final class Duplicates {

    private Duplicates() {}

    static Outcome outcome(final Claim held) {
        final RequestId holder = held.holder();
        return held.state() == Claim.State.DONE
                ? new Outcome.FailedAfterRun(
                        "this idempotency key already ran to its end as request " + holder)
                : new Outcome.Unknown(
                        "this idempotency key is held by request "
                                + holder
                                + ", which may be running or have run");
    }
}
