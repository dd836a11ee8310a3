package org.fennelstage.bench.engine;

import java.util.List;
import org.fennelstage.id.ModelId;

/** Models and request kinds for simulations. Stateless. */
public final class Workloads {

    /** Three models, smallest first; each larger one is slower and answers harder requests. */
    public static final List<ModelSpec> MODELS =
            List.of(
                    new ModelSpec(ModelId.of("small"), 0.3, 0.56),
                    new ModelSpec(ModelId.of("middle"), 0.8, 0.65),
                    new ModelSpec(ModelId.of("large"), 3, 1));

    private Workloads() {}

    /**
     * Returns a mix of long prompts (drafts) and short ones (captions and tags).
     *
     * @param scale factor on all arrival rates; 1 is about 66 requests per second
     * @return the request kinds
     */
    public static List<RequestKind> longAndShortPrompts(final double scale) {
        return List.of(
                new RequestKind("draft", 12.5 * scale, 5_400, 6_600, 380, 229, 3_000, 25_000, 6.9),
                new RequestKind("caption", 32.8 * scale, 200, 630, 290, 268, 3_000, 20_000, 0.87),
                new RequestKind("tag", 21.1 * scale, 570, 1_800, 24, 259, 4_000, 5_000, 0.44));
    }
}
