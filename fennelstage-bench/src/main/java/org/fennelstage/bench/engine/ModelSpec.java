package org.fennelstage.bench.engine;

import org.fennelstage.id.ModelId;

/**
 * The speed and quality of a model. Immutable and thread-safe.
 *
 * @param id the model
 * @param timeFactor factor on the times of {@link EngineSpec}
 * @param quality the difficulty up to which the model's answers are good enough, in [0, 1]
 */
public record ModelSpec(ModelId id, double timeFactor, double quality) {}
