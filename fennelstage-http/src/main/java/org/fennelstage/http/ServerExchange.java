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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * A request received by the server, and its response.
 *
 * <p>Invariant: at most one response is sent; calls after its end or after the connection was
 * closed have no effect.
 *
 * <p>Not thread-safe; confined to {@link #eventLoop()}.
 */
public final class ServerExchange {

    private enum State {
        OPEN,
        STREAMING,
        ENDED
    }

    private static final int NO_CONTENT = 204;
    private static final int INTERNAL_ERROR = 500;
    private static final int NOT_MODIFIED = 304;
    private static final Runnable NO_ACTION = () -> {};

    private final ChannelHandlerContext context;
    private final FullHttpRequest request;
    private final byte[] body;
    private final boolean keepAlive;
    private final BooleanSupplier closing;
    private final AtomicInteger unwrittenResponses;
    private final Runnable afterEnd;
    private State state = State.OPEN;
    private boolean closeAfter;
    private boolean callerDisconnected;
    private Runnable onClosed = NO_ACTION;
    private Runnable onWritable = NO_ACTION;

    ServerExchange(
            final ChannelHandlerContext context,
            final FullHttpRequest request,
            final BooleanSupplier closing,
            final AtomicInteger unwrittenResponses,
            final Runnable afterEnd) {
        this.context = context;
        this.request = request;
        this.closing = closing;
        this.unwrittenResponses = unwrittenResponses;
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
     * Returns the path and query as received.
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
     * Registers an action to run when the caller disconnects before the end of the response. Runs
     * it immediately if the caller has already disconnected.
     *
     * @param action the action
     */
    public void onClosed(final Runnable action) {
        onClosed = action;
        final boolean alreadyInactive = !context.channel().isActive() && state != State.ENDED;
        if (callerDisconnected || alreadyInactive) {
            action.run();
        }
    }

    /**
     * Registers an action to run when the connection becomes writable again.
     *
     * @param action the action
     */
    public void onWritable(final Runnable action) {
        onWritable = action;
    }

    /**
     * Returns whether more bytes may be written without exceeding the write buffer's limit.
     *
     * @return false while too many bytes are queued
     */
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    public boolean isEnded() {
        return state == State.ENDED;
    }

    /**
     * Sends a complete response.
     *
     * @param status the status code
     * @param headers the headers; framing headers are set by this method
     * @param content the body
     */
    public void respond(final int status, final Map<String, String> headers, final byte[] content) {
        respond(status, toHeaders(headers), content);
    }

    /**
     * Sends a complete response.
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
     * Sends a complete response with a text body in UTF-8.
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
     * Begins a response whose length is not known yet; the body is sent in chunks.
     *
     * @param status the status code
     * @param headers the headers; framing headers are set by this method
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
     * Sends a part of the body of a response that was begun.
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

    /** Ends a response that was begun; the caller sees it as complete. */
    public void end() {
        if (state != State.STREAMING) {
            return;
        }
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Closes the connection, so that the caller sees a response that was begun as incomplete. */
    public void abort() {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        context.close();
    }

    /**
     * Ends the exchange after an unexpected error of its handler: with an error response if none
     * was begun. What the handler has started for it is notified as if the caller had disconnected.
     */
    void fail() {
        if (state == State.ENDED) {
            return;
        }
        final Runnable told = onClosed;
        onClosed = () -> {};
        if (state == State.OPEN) {
            respond(INTERNAL_ERROR, "application/json", ErrorBodies.INTERNAL);
        } else {
            abort();
        }
        told.run();
    }

    void closed() {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        callerDisconnected = true;
        onClosed.run();
    }

    void writable() {
        if (state != State.ENDED) {
            onWritable.run();
        }
    }

    private void finish(final Object last) {
        final boolean isFullResponse = last instanceof DefaultFullHttpResponse;
        state = State.ENDED;
        // Evaluated again at the end of a stream: the server may have begun to close after the head
        // was sent, and the connection must not accept another request then.
        closeAfter = closeAfter || !keepAlive || closing.getAsBoolean();
        if (isFullResponse && closeAfter) {
            ((DefaultFullHttpResponse) last)
                    .headers()
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        unwrittenResponses.incrementAndGet();
        final var written = context.writeAndFlush(last);
        written.addListener(f -> unwrittenResponses.decrementAndGet());
        if (closeAfter && keepAlive) {
            written.addListener(LingeringClose.AFTER_WRITE);
        } else if (closeAfter) {
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
