package org.fennelstage.placement;

import java.util.List;
import java.util.Optional;

/**
 * The prompt of a request to a model.
 *
 * <p>Invariant: no number of tokens is negative. Immutable and thread-safe.
 *
 * @param parts the parts of the prompt in order; the last is the request's own
 * @param promptTokens the length of the whole prompt; tokens
 * @param maxOutputTokens the largest number of tokens to generate
 */
public record Prompt(List<PromptPart> parts, int promptTokens, int maxOutputTokens) {

    /**
     * Creates a prompt.
     *
     * @throws IllegalArgumentException if a number of tokens is negative
     */
    public Prompt {
        if (promptTokens < 0 || maxOutputTokens < 0) {
            throw new IllegalArgumentException(
                    "negative number of tokens: " + promptTokens + "," + maxOutputTokens);
        }
        parts = List.copyOf(parts);
    }

    /**
     * Returns all parts but the request's own.
     *
     * @return the parts that other requests may share, in order
     */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /**
     * Returns the length of all parts but the request's own.
     *
     * @return tokens
     */
    public long sharedTokens() {
        return sharedParts().stream().mapToLong(PromptPart::tokens).sum();
    }

    /**
     * Returns the last part that other requests may share, which precedes the request's own.
     *
     * @return the part, empty if the prompt has no such part
     */
    public Optional<PromptPart> lastShared() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }
}
