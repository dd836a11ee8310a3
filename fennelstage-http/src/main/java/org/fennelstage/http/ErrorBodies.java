package org.fennelstage.http;

/** JSON bodies of the rejections that the HTTP layer itself sends. Stateless and thread-safe. */
final class ErrorBodies {

    /** The body of the response to a request that may have run. */
    static final String INTERNAL =
            "{\"error\":{\"outcome\":\"unknown\",\"reason\":\"internal_error\","
                    + "\"message\":\"unexpected error\"}}";

    private ErrorBodies() {}

    static String body(final String reason, final String detail) {
        return "{\"error\":{\"outcome\":\"refused-not-run\",\"reason\":\""
                + reason
                + "\",\"message\":\""
                + detail.replaceAll("[^A-Za-z0-9 .,:;()_-]", "?")
                + "\"}}";
    }
}
