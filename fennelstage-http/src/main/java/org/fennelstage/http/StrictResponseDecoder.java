package org.fennelstage.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Netty's response decoder, telling whether bytes are left after a response.
 *
 * <p>A faulty server may send more than one response to one request. On a kept connection the
 * surplus would be taken for the answer to the next request: a caller would get what belongs to
 * another. Bytes that wait here when a response has ended are that surplus.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    private boolean answersHead;

    /** Tells whether the next response answers a HEAD request and so has no body. */
    void expect(final boolean headRequest) {
        answersHead = headRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return answersHead || super.isContentAlwaysEmpty(message);
    }

    boolean hasSurplus() {
        return actualReadableBytes() > 0;
    }
}
