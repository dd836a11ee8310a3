package org.fennelstage.bench.engine;

import java.util.List;
import org.fennelstage.id.ModelId;

/** Loads for plays: three models, and long prompts beside short ones. Stateless. */
public final class Loads {

    /**
     * Three models as deployments have them: each larger one is slower and answers harder requests.
     */
    public static final List<ModelSpec> MODELS =
            List.of(
                    new ModelSpec(ModelId.of("small"), 0.3, 0.56),
                    new ModelSpec(ModelId.of("middle"), 0.8, 0.65),
                    new ModelSpec(ModelId.of("large"), 3, 1));

    private Loads() {}

    /**
     * Returns long drafts beside captions and tags.
     *
     * @param scale multiplies all rates; 1 is some 65 requests a second
     * @return the kinds
     */
    public static List<Kind> longBesideShort(final double scale) {
        return List.of(
                new Kind("draft", 12.5 * scale, 5_400, 6_600, 380, 229, 3_000, 25_000, 6.9),
                new Kind("caption", 32.8 * scale, 200, 630, 290, 268, 3_000, 20_000, 0.87),
                new Kind("tag", 21.1 * scale, 570, 1_800, 24, 259, 4_000, 5_000, 0.44));
    }
}
