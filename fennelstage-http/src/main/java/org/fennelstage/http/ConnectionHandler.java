package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * Passes the requests of one connection to the handler one at a time, in order.
 *
 * <p>Invariants: responses are written in the order of requests, that to a refused one included;
 * nothing that is read after a refused request is handled; while the server stops, the connection
 * is closed after the responses to all requests that were read before the response that announces
 * its end.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final int MAX_PIPELINED = 16;
    private static final System.Logger LOG = System.getLogger(ConnectionHandler.class.getName());

    private final RequestHandler handler;
    private final BooleanSupplier closing;
    private final AtomicInteger unwrittenResponses;
    private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();
    private ServerExchange current;
    private Optional<Refusal> refusal = Optional.empty();
    private boolean refusesFurther;

    ConnectionHandler(
            final RequestHandler handler,
            final BooleanSupplier closing,
            final AtomicInteger unwrittenResponses) {
        this.handler = handler;
        this.closing = closing;
        this.unwrittenResponses = unwrittenResponses;
    }

    /** Returns whether a request on this connection has no complete response yet. */
    boolean isBusy() {
        return current != null || !waiting.isEmpty();
    }

    /** Refuses requests that are read from now on behind one that has no response yet. */
    void refuseFurtherRequests() {
        refusesFurther = true;
    }

    private boolean closesAfterResponse() {
        return closing.getAsBoolean() && waiting.isEmpty() && refusal.isEmpty();
    }

    private void refuse(final ChannelHandlerContext context, final Refusal newRefusal) {
        if (refusal.isPresent()) {
            return;
        }
        refusal = Optional.of(newRefusal);
        if (!isBusy()) {
            writeRefusal(context, newRefusal);
        }
    }

    private static void writeRefusal(final ChannelHandlerContext context, final Refusal refusal) {
        context.writeAndFlush(refusal.response()).addListener(LingeringClose.AFTER_WRITE);
    }

    @Override
    protected void channelRead0(
            final ChannelHandlerContext context, final FullHttpRequest request) {
        if (refusal.isPresent()) {
            return;
        }
        if (request.decoderResult().isFailure()) {
            refuse(context, malformed(request.decoderResult().cause()));
            return;
        }
        if (current == null) {
            start(context, request);
        } else if (refusesFurther) {
            refuse(context, Refusal.STOPPING);
        } else if (waiting.size() < MAX_PIPELINED) {
            waiting.add(request.retain());
        } else {
            context.close();
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext context) {
        if (current != null && context.channel().isWritable()) {
            current.writable();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
        if (current != null) {
            final ServerExchange exchange = current;
            current = null;
            exchange.closed();
        }
        context.fireChannelInactive();
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof Refusal newRefusal) {
            refuse(context, newRefusal);
            return;
        }
        if (!(event instanceof IdleStateEvent)) {
            context.fireUserEventTriggered(event);
            return;
        }
        // Closes connections of callers that neither send the rest of a request nor read their
        // response, but not while a request is running: its response may take long.
        final boolean awaitsResponse = current != null && context.channel().isWritable();
        if (!awaitsResponse) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.log(ConnectionErrors.level(cause), "connection failed", cause);
        }
        context.close();
    }

    private void start(final ChannelHandlerContext context, final FullHttpRequest request) {
        final ServerExchange exchange =
                new ServerExchange(
                        context,
                        request,
                        this::closesAfterResponse,
                        unwrittenResponses,
                        () -> startNext(context));
        current = exchange;
        // A caller may have closed its connection after sending the request. The close is read in
        // the same event loop iteration as the request, and this task runs after it, so the handler
        // can skip requests whose caller is gone.
        context.channel().eventLoop().execute(() -> handle(exchange));
    }

    private void handle(final ServerExchange exchange) {
        try {
            handler.handle(exchange);
        } catch (final RuntimeException | Error e) {
            // The event loop would only log it, and the caller would wait for a response in vain.
            LOG.log(System.Logger.Level.ERROR, "request failed", e);
            exchange.fail();
        }
    }

    private void startNext(final ChannelHandlerContext context) {
        current = null;
        final FullHttpRequest request = waiting.poll();
        if (request != null) {
            start(context, request);
            request.release();
        } else {
            giveMemoryBack(context);
            refusal.ifPresent(r -> writeRefusal(context, r));
        }
    }

    /** A part of the next request may have been read; it is given back with that request. */
    private static void giveMemoryBack(final ChannelHandlerContext context) {
        final HeaderTimeout reading = context.pipeline().get(HeaderTimeout.class);
        final BodyMemory bodies = context.pipeline().get(BodyMemory.class);
        if (bodies != null && !(reading != null && reading.isReading())) {
            bodies.giveBack();
        }
    }

    private static HttpResponseStatus statusFor(final Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static Refusal malformed(final Throwable cause) {
        return new Refusal(
                statusFor(cause),
                ErrorBodies.body("malformed", String.valueOf(cause.getMessage())));
    }
}
