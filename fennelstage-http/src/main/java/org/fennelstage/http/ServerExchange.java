package org.fennelstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * One request on a connection and the single response to it.
 *
 * <p>Invariants: at most one response is begun and ended; calls after the end or after the
 * connection closed do nothing. Confined to {@link #eventLoop()}.
 */
public final class ServerExchange {

    private enum State {
        OPEN,
        STREAMING,
        ENDED
    }

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final Runnable NOTHING = () -> {};

    private final ChannelHandlerContext context;
    private final FullHttpRequest request;
    private final byte[] body;
    private final boolean keepAlive;
    private final BooleanSupplier closing;
    private final Runnable afterEnd;
    private State state = State.OPEN;
    private boolean closeAfter;
    private boolean peerLeft;
    private Runnable onClosed = NOTHING;
    private Runnable onWritable = NOTHING;

    ServerExchange(
            final ChannelHandlerContext context,
            final FullHttpRequest request,
            final BooleanSupplier closing,
            final Runnable afterEnd) {
        this.context = context;
        this.request = request;
        this.closing = closing;
        this.afterEnd = afterEnd;
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
    }

    public EventLoop eventLoop() {
        return context.channel().eventLoop();
    }

    public String method() {
        return request.method().name();
    }

    /**
     * Returns the path and query as sent.
     *
     * @return the request target
     */
    public String uri() {
        return request.uri();
    }

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        final int query = request.uri().indexOf('?');
        return query < 0 ? request.uri() : request.uri().substring(0, query);
    }

    public HttpHeaders headers() {
        return request.headers();
    }

    public byte[] body() {
        return body;
    }

    /**
     * Registers what to do when the caller goes away before the end of the response. If it has left
     * already, that is done at once.
     *
     * @param action the action
     */
    public void onClosed(final Runnable action) {
        onClosed = action;
        final boolean leftUnseen = !context.channel().isActive() && state != State.ENDED;
        if (peerLeft || leftUnseen) {
            action.run();
        }
    }

    /**
     * Registers what to do when the caller can take more bytes again.
     *
     * @param action the action
     */
    public void onWritable(final Runnable action) {
        onWritable = action;
    }

    /**
     * Tells whether the caller keeps up with what is written.
     *
     * @return false while too much is queued
     */
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    public boolean isEnded() {
        return state == State.ENDED;
    }

    /**
     * Sends a whole response.
     *
     * @param status the status code
     * @param headers the headers besides the length
     * @param content the body
     */
    public void respond(final int status, final Map<String, String> headers, final byte[] content) {
        respond(status, toHeaders(headers), content);
    }

    /**
     * Answers with a whole response.
     *
     * @param status the status code
     * @param headers the headers; framing headers are set by this method
     * @param content the body
     */
    public void respond(final int status, final HttpHeaders headers, final byte[] content) {
        if (state != State.OPEN) {
            return;
        }
        final DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(content));
        response.headers().set(headers);
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        if (status != NO_CONTENT && status != NOT_MODIFIED) {
            HttpUtil.setContentLength(response, content.length);
        }
        finish(response);
    }

    /**
     * Sends a whole response of text.
     *
     * @param status the status code
     * @param contentType the media type
     * @param content the body
     */
    public void respond(final int status, final String contentType, final String content) {
        respond(
                status,
                Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), contentType),
                content.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Begins a response of unknown length.
     *
     * @param status the status code
     * @param headers the headers
     */
    public void begin(final int status, final Map<String, String> headers) {
        begin(status, toHeaders(headers));
    }

    /**
     * Begins a response whose length is not known yet; the body is sent in chunks.
     *
     * @param status the status code
     * @param headers the headers; framing headers are set by this method
     */
    public void begin(final int status, final HttpHeaders headers) {
        if (state != State.OPEN) {
            return;
        }
        state = State.STREAMING;
        final DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(headers);
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        closeAfter = !keepAlive || closing.getAsBoolean();
        if (closeAfter) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.write(response);
    }

    /**
     * Sends a part of a begun response.
     *
     * @param content the bytes; ownership passes to this method
     */
    public void write(final ByteBuf content) {
        if (state != State.STREAMING) {
            ReferenceCountUtil.release(content);
            return;
        }
        context.writeAndFlush(new DefaultHttpContent(content));
    }

    /** Ends a begun response so that the caller sees it as whole. */
    public void end() {
        if (state != State.STREAMING) {
            return;
        }
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Closes the connection, so that a begun response cannot be taken for a whole one. */
    public void abort() {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        context.close();
    }

    void closed() {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        peerLeft = true;
        onClosed.run();
    }

    void writable() {
        if (state != State.ENDED) {
            onWritable.run();
        }
    }

    private void finish(final Object last) {
        final boolean wholeResponse = last instanceof DefaultFullHttpResponse;
        state = State.ENDED;
        // Asked again at the end of a stream: its head may have gone out before the server was told
        // to close, and a connection left open then would take one more request.
        closeAfter = !keepAlive || closing.getAsBoolean();
        if (wholeResponse && closeAfter) {
            ((DefaultFullHttpResponse) last)
                    .headers()
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        final var written = context.writeAndFlush(last);
        if (closeAfter) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            written.addListener(f -> afterEnd.run());
        }
    }

    private static HttpHeaders toHeaders(final Map<String, String> headers) {
        final HttpHeaders all = new DefaultHttpHeaders();
        headers.forEach(all::set);
        return all;
    }
}
