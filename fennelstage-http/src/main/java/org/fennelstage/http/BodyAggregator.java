package org.fennelstage.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * Aggregates request bodies up to a limit; responds with 413 to larger ones and closes the
 * connection.
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
        final byte[] text =
                ErrorBodies.body("too_large", "the body may have at most " + maxBytes + " bytes")
                        .getBytes(StandardCharsets.UTF_8);
        final DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                        Unpooled.wrappedBuffer(text));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, text.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(LingeringClose.AFTER_WRITE);
    }
}
