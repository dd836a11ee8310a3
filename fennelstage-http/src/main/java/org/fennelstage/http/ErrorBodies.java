package org.fennelstage.http;

/** JSON bodies of the rejections that the HTTP layer itself sends. Stateless and thread-safe. */
final class ErrorBodies {

    private ErrorBodies() {}

    static String body(final String reason, final String detail) {
        return "{\"error\":{\"outcome\":\"refused-not-run\",\"reason\":\""
                + reason
                + "\",\"message\":\""
                + detail.replaceAll("[^A-Za-z0-9 .,:;()_-]", "?")
                + "\"}}";
    }
}
