package org.fennelstage.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/** How the end of a response body is recognised. */
final class Framing {

    private Framing() {}

    /**
     * Returns whether a response has a body with neither a length nor chunks, which ends with the
     * connection, whether or not it is whole.
     *
     * @param method the method of the request
     * @param status the status of the response
     * @param headers the headers as received
     * @return true if the end of the connection is the end of the body
     */
    static boolean endsWithConnection(
            final String method, final int status, final HttpHeaders headers) {
        final boolean hasBody =
                !HttpMethod.HEAD.name().equals(method)
                        && status != HttpResponseStatus.NO_CONTENT.code()
                        && status != HttpResponseStatus.NOT_MODIFIED.code();
        return hasBody
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
