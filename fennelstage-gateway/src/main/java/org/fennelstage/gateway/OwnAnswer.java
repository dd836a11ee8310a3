package org.fennelstage.gateway;

import java.nio.charset.StandardCharsets;

/** Bodies of the router's own answers. Stateless and thread-safe. */
final class OwnAnswer {

    private OwnAnswer() {}

    static byte[] body(final Refusal refusal) {
        final String text = "{\"error\":{\"reason\":\"" + refusal.reason() + "\"}}";
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
