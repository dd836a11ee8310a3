package org.fennelstage.route;

import org.fennelstage.claim.Claim;
import org.fennelstage.id.RequestId;
import org.fennelstage.outcome.Outcome;

/**
 * Outcomes of requests whose idempotency key is claimed by an earlier request. Stateless and
 * thread-safe.
 */
final class DuplicateRequests {

    private DuplicateRequests() {}

    static Outcome outcome(final Claim existing) {
        final RequestId holder = existing.holder();
        return existing.state() == Claim.State.DONE
                ? new Outcome.FailedAfterRun(
                        "this idempotency key already ran to its end as request " + holder)
                : new Outcome.Unknown(
                        "this idempotency key is claimed by request "
                                + holder
                                + ", which may be running or may have run");
    }
}
