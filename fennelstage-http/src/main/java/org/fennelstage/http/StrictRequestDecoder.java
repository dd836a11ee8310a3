package org.fennelstage.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Netty's request decoder, which rejects a request with both {@code Content-Length} and {@code
 * Transfer-Encoding}, or with a transfer coding other than {@code chunked}, as protection against
 * request smuggling.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private boolean inHead;

    StrictRequestDecoder(final ServerLimits limits) {
        super(limits.maxHeaderBytes(), limits.maxHeaderBytes(), MAX_CHUNK_BYTES);
    }

    /** Returns whether a part of a head has been read, but not all of it. */
    boolean hasPartialHead() {
        return inHead || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(final String[] initialLine) throws Exception {
        inHead = true;
        return super.createMessage(initialLine);
    }

    /** Called once the head is read; an exception makes the request malformed. */
    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        inHead = false;
        final List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        final boolean onlyChunked =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        if (!codings.isEmpty() && !onlyChunked) {
            throw new IllegalArgumentException("transfer coding other than chunked");
        }
        return super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are set");
    }
}
