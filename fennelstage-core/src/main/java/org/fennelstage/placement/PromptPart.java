package org.fennelstage.placement;

import java.util.Objects;

/**
 * A part of a prompt that other requests may share.
 *
 * <p>Invariant: its length is not negative. Immutable and thread-safe.
 *
 * @param id identifies its content
 * @param tokens its length; tokens
 */
public record PromptPart(String id, int tokens) {

    /**
     * Creates a part.
     *
     * @throws IllegalArgumentException if the length is negative
     */
    public PromptPart {
        Objects.requireNonNull(id, "id is null");
        if (tokens < 0) {
            throw new IllegalArgumentException("negative number of tokens: " + tokens);
        }
    }
}
