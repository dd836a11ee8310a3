package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Aggregates request bodies up to a limit; refuses larger ones with 413.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class BodyAggregator extends HttpObjectAggregator {

    private final int maxBytes;

    BodyAggregator(final int maxBytes) {
        super(maxBytes);
        this.maxBytes = maxBytes;
    }

    @Override
    protected void handleOversizedMessage(
            final ChannelHandlerContext context, final HttpMessage oversized) {
        context.fireUserEventTriggered(
                new Refusal(
                        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                        ErrorBodies.body(
                                "too_large", "the body may have at most " + maxBytes + " bytes")));
    }
}
