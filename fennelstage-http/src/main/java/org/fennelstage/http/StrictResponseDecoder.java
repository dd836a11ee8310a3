package org.fennelstage.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Netty's response decoder, which also reports bytes left over after a response.
 *
 * <p>A faulty server may send more than one response to a request. On a reused connection the extra
 * one would be treated as the response to the next request and could reach another caller.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    private boolean headRequested;

    /** Sets whether the next response is to a HEAD request and so has no body. */
    void expect(final boolean headRequest) {
        headRequested = headRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return headRequested || super.isContentAlwaysEmpty(message);
    }

    boolean hasExcessBytes() {
        return actualReadableBytes() > 0;
    }
}
