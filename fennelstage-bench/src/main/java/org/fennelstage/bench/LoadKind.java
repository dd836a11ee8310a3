package org.fennelstage.bench;

/**
 * One kind of request in a mix. Immutable and thread-safe.
 *
 * @param profile the profile asked for
 * @param weight its share of the mix, relative to the others
 * @param tokens how many tokens the answer has
 * @param difficulty how hard the prompt is, in [0, 1]
 * @param onceOnly whether it needs an idempotency key
 */
record LoadKind(String profile, double weight, int tokens, double difficulty, boolean onceOnly) {

    static final LoadKind[] ZVEZDNA = {
        new LoadKind("subject-line", 0.55, 12, 0.05, false),
        new LoadKind("member-digest", 0.25, 40, 0.15, false),
        new LoadKind("full-issue", 0.1, 120, 0.05, false),
        new LoadKind("newsletter-send", 0.1, 8, 0.05, true),
    };

    static final LoadKind[] COMPENSA = {
        new LoadKind("tag-counterparty", 0.55, 8, 0.05, false),
        new LoadKind("explain-mismatch", 0.25, 40, 0.15, false),
        new LoadKind("read-contract", 0.1, 120, 0.05, false),
        new LoadKind("netting-proposal", 0.1, 40, 0.05, true),
    };

    static LoadKind pick(final LoadKind[] mix, final double point) {
        double sum = 0;
        for (final LoadKind kind : mix) {
            sum += kind.weight();
            if (point < sum) {
                return kind;
            }
        }
        return mix[mix.length - 1];
    }
}
