package org.fennelstage.gateway;

import java.nio.charset.StandardCharsets;

/** Creates the JSON bodies of error responses that this VM generates. Stateless and thread-safe. */
final class ErrorBody {

    private ErrorBody() {}

    static byte[] body(final GatewayError error) {
        final String text = "{\"error\":{\"reason\":\"" + error.reason() + "\"}}";
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
