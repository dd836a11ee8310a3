package org.fennelstage.standin;

import org.fennelstage.id.VersionId;

/**
 * The simulated behaviour of a model version in the stand-in engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version
 * @param skill the mean quality of answers to the easiest prompt, in [0, 1]
 * @param errors the share of requests that fail, in [0, 1]
 * @param truncations the share of truncated answers, in [0, 1]
 * @param tokenMillis the inter-token latency when the engine runs one request, in milliseconds
 * @param prefillMillis the time to first token with nothing cached, in milliseconds
 */
public record VersionBehaviour(
        VersionId version,
        double skill,
        double errors,
        double truncations,
        double tokenMillis,
        double prefillMillis) {

    private static final int FIELDS = 6;

    /**
     * Parses {@code model@version,skill,errors,truncations,tokenMillis,prefillMillis}.
     *
     * @param text the text
     * @return the behaviour
     * @throws IllegalArgumentException if the text does not have this format
     */
    public static VersionBehaviour parse(final String text) {
        final String[] fields = text.split(",", -1);
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException(
                    "expected MODEL@VERSION,SKILL,ERRORS,TRUNCATIONS,TOKEN_MS,PREFILL_MS: " + text);
        }
        return new VersionBehaviour(
                VersionId.parse(fields[0]),
                Double.parseDouble(fields[1]),
                Double.parseDouble(fields[2]),
                Double.parseDouble(fields[3]),
                Double.parseDouble(fields[4]),
                Double.parseDouble(fields[5]));
    }
}
