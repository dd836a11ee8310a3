package org.fennelstage.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Netty's request decoder, refusing a message with both a length and a transfer encoding.
 *
 * <p>Two programs that disagree on which of the two counts disagree on where the next request
 * begins; an attacker uses that to slip a request past one of them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_CHUNK = 64 * 1024;

    StrictRequestDecoder(final ServerLimits limits) {
        super(limits.maxHeaderBytes(), limits.maxHeaderBytes(), MAX_CHUNK);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are set");
    }
}
