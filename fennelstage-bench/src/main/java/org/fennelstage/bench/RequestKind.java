package org.fennelstage.bench;

/**
 * A kind of request in the mix of the load generator. Immutable and thread-safe.
 *
 * @param profile the requested profile
 * @param weight the share of the mix, in [0, 1]; the weights of a mix add up to 1
 * @param tokens the number of requested tokens
 * @param difficulty the difficulty of the prompt, in [0, 1]
 * @param nonIdempotent whether the request carries an idempotency key
 */
record RequestKind(
        String profile, double weight, int tokens, double difficulty, boolean nonIdempotent) {

    static final RequestKind[] ZVEZDNA = {
        new RequestKind("subject-line", 0.55, 12, 0.05, false),
        new RequestKind("member-digest", 0.25, 40, 0.15, false),
        new RequestKind("full-issue", 0.1, 120, 0.05, false),
        new RequestKind("newsletter-send", 0.1, 8, 0.05, true),
    };

    static final RequestKind[] COMPENSA = {
        new RequestKind("tag-counterparty", 0.55, 8, 0.05, false),
        new RequestKind("explain-mismatch", 0.25, 40, 0.15, false),
        new RequestKind("read-contract", 0.1, 120, 0.05, false),
        new RequestKind("netting-proposal", 0.1, 40, 0.05, true),
    };

    /**
     * Picks a kind by weight. The last kind takes the rest if the weights add up to less than 1.
     *
     * @param mix the kinds
     * @param point a random number in [0, 1)
     * @return the kind
     */
    static RequestKind pick(final RequestKind[] mix, final double point) {
        double cumulativeWeight = 0;
        for (final RequestKind kind : mix) {
            cumulativeWeight += kind.weight();
            if (point < cumulativeWeight) {
                return kind;
            }
        }
        return mix[mix.length - 1];
    }
}
