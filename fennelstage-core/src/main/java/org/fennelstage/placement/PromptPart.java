package org.fennelstage.placement;

import java.util.Objects;

/**
 * A part of a prompt that other requests may share. Immutable and thread-safe.
 *
 * @param id identifies its content
 * @param tokens its length; tokens
 */
public record PromptPart(String id, int tokens) {

    public PromptPart {
        Objects.requireNonNull(id, "id is null");
    }
}
