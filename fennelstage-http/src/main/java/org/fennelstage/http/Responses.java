package org.fennelstage.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Types of responses. Stateless and thread-safe. */
public final class Responses {

    private Responses() {}

    /**
     * A complete response. Thread-safe as long as nobody modifies its headers and body.
     *
     * @param status the status code
     * @param headers the headers
     * @param body the body
     */
    public record FullResponse(int status, HttpHeaders headers, byte[] body) {}
}
