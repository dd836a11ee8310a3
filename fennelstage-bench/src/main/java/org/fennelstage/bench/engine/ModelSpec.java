package org.fennelstage.bench.engine;

import org.fennelstage.id.ModelId;

/**
 * A model that engines hold. Immutable and thread-safe.
 *
 * @param id its name
 * @param pace its time for a step or a token of a prompt, as a multiple of the engine's
 * @param quality the hardness up to which its answers are good enough, in [0, 1]
 */
public record ModelSpec(ModelId id, double pace, double quality) {}
