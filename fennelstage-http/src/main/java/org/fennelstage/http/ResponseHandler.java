package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Passes the responses on one connection to the listener of the current call.
 *
 * <p>Invariant: a connection returns to the pool only after a complete response that matches its
 * call, with the request fully written, no bytes left over and no response dropped. Otherwise it is
 * closed, since the next bytes could not be assigned to a request.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

    private static final System.Logger LOG = System.getLogger(ResponseHandler.class.getName());

    /** Interim responses to one call; more come from a server in trouble. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /** Bytes of responses to other calls that are skipped before the connection is given up. */
    private static final long MAX_DROPPED_BYTES = 1 << 20;

    private final BooleanSupplier connectionFailed;
    private ChannelHandlerContext handlerContext;
    private Call call;
    private ResponseListener listener;
    private CallOptions options = CallOptions.DEFAULT;
    private Consumer<Optional<Duration>> returnToPool;
    private ScheduledFuture<?> inactivityTimer;
    private long lastReadNanos;
    private boolean overdue;
    private EndOfInput endOfInput;
    private boolean headSeen;
    private boolean usedBefore;
    private boolean reused;
    private boolean dropping;
    private int interimResponses;
    private long droppedBytes;
    private boolean reusable;
    private boolean responseEnded;
    private Optional<Duration> keepAlive = Optional.empty();

    /**
     * Creates the handler of a connection.
     *
     * @param connectionFailed returns whether the connection has failed, after the end of input too
     */
    ResponseHandler(final BooleanSupplier connectionFailed) {
        this.connectionFailed = connectionFailed;
    }

    void begin(
            final Call newCall,
            final ResponseListener newListener,
            final CallOptions newOptions,
            final boolean requestHasContent,
            final Consumer<Optional<Duration>> newReturnToPool) {
        call = newCall;
        listener = newListener;
        options = newOptions;
        returnToPool = newReturnToPool;
        endOfInput = new EndOfInput(handlerContext.executor(), connectionFailed, requestHasContent);
        headSeen = false;
        reused = usedBefore;
        usedBefore = true;
        dropping = false;
        interimResponses = 0;
        droppedBytes = 0;
        reusable = true;
        responseEnded = false;
        keepAlive = Optional.empty();
        lastReadNanos = System.nanoTime();
        overdue = false;
        startInactivityTimer(options.inactivityTimeout().toNanos());
    }

    void requestWritten() {
        endOfInput.onRequestWritten();
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        handlerContext = context;
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpObject message) {
        if (listener == null) {
            responseEnded = false;
            context.close();
            return;
        }
        lastReadNanos = System.nanoTime();
        if (message.decoderResult().isFailure()) {
            fail("malformed response: " + message.decoderResult().cause());
            context.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(response);
        }
        if (message instanceof HttpContent content) {
            onContent(context, content);
        }
        if (interimResponses > MAX_INTERIM_RESPONSES || droppedBytes > MAX_DROPPED_BYTES) {
            fail("no response among what the server sends");
            context.close();
        }
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
        if (responseEnded) {
            responseEnded = false;
            returnOrClose(context);
        } else if (listener == null && decoder(context).hasExcessBytes()) {
            context.close();
        }
        context.fireChannelReadComplete();
    }

    /**
     * Closes the connection once the server has closed its side, after what it sent is decoded and
     * it is decided whether that ends a response.
     */
    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof ChannelInputShutdownEvent && !isEndAwaited()) {
            context.close();
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        cancelInactivityTimer();
        fail("connection closed");
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.log(ConnectionErrors.level(cause), "call failed", cause);
        }
        fail(String.valueOf(cause.getMessage()));
        context.close();
    }

    private void startInactivityTimer(final long nanos) {
        inactivityTimer =
                handlerContext
                        .executor()
                        .schedule(this::checkInactivity, nanos, TimeUnit.NANOSECONDS);
    }

    private void checkInactivity() {
        inactivityTimer = null;
        if (listener == null) {
            return;
        }
        final boolean paused = !handlerContext.channel().config().isAutoRead();
        if (paused) {
            lastReadNanos = System.nanoTime();
        }
        final long remainingNanos =
                options.inactivityTimeout().toNanos() - (System.nanoTime() - lastReadNanos);
        if (remainingNanos > 0) {
            overdue = false;
            startInactivityTimer(remainingNanos);
            return;
        }
        if (!overdue) {
            overdue = true;
            startInactivityTimer(EventLoopPause.READ_TIME.toNanos());
            return;
        }
        fail("no data for " + options.inactivityTimeout().toMillis() + " ms");
        handlerContext.close();
    }

    private void onHead(final HttpResponse response) {
        final boolean informational =
                response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        dropping = informational || !options.matchesCall().test(response.headers());
        if (dropping) {
            interimResponses += informational ? 1 : 0;
            reusable = reusable && informational;
            return;
        }
        headSeen = true;
        reusable = reusable && HttpUtil.isKeepAlive(response);
        keepAlive = KeepAlive.timeout(response.headers());
        if (!call.isCancelled()) {
            listener.onHead(response.status().code(), response.headers());
        }
    }

    private void onContent(final ChannelHandlerContext context, final HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        if (dropping) {
            droppedBytes += content.content().readableBytes();
            dropping = !last;
            return;
        }
        if (content.content().isReadable() && !call.isCancelled()) {
            listener.onContent(content.content());
        }
        if (last && listener != null) {
            if (decoder(context).isConnectionLost()) {
                fail("connection lost in a response without a length");
            } else if (decoder(context).isInputEnded()) {
                endOfInput.onInputEnded(complete -> finishOrFail(context, complete));
            } else {
                finish(context);
            }
        }
    }

    private boolean isEndAwaited() {
        return listener != null && endOfInput.isAwaited();
    }

    private void finishOrFail(final ChannelHandlerContext context, final boolean complete) {
        if (listener == null) {
            return;
        }
        if (complete) {
            finish(context);
        } else {
            fail("connection lost after a response without a length");
        }
        context.close();
    }

    private static StrictResponseDecoder decoder(final ChannelHandlerContext context) {
        return context.pipeline().get(StrictResponseDecoder.class);
    }

    private void finish(final ChannelHandlerContext context) {
        decoder(context).onResponseEnded();
        final ResponseListener ended = listener;
        final Call endedCall = call;
        listener = null;
        call = null;
        endedCall.detach();
        cancelInactivityTimer();
        context.channel().config().setAutoRead(true);
        responseEnded = true;
        if (!endedCall.isCancelled()) {
            ended.onEnd();
        }
    }

    /**
     * Called after the read that completed the response, when all its bytes are decoded. Earlier, a
     * second response in the same read would go unnoticed and be treated as the next one.
     */
    private void returnOrClose(final ChannelHandlerContext context) {
        if (reusable && endOfInput.isRequestWritten() && !decoder(context).hasExcessBytes()) {
            returnToPool.accept(keepAlive);
        } else {
            context.close();
        }
    }

    private void cancelInactivityTimer() {
        if (inactivityTimer != null) {
            inactivityTimer.cancel(false);
            inactivityTimer = null;
        }
    }

    private void fail(final String detail) {
        if (listener == null) {
            return;
        }
        final ResponseListener failed = listener;
        final Call failedCall = call;
        listener = null;
        call = null;
        failedCall.detach();
        cancelInactivityTimer();
        if (!failedCall.isCancelled()) {
            final CallFailure.Phase phase =
                    headSeen ? CallFailure.Phase.RESPONDING : CallFailure.Phase.MAYBE_SENT;
            failed.onFailure(new CallFailure(phase, reused && !headSeen, detail));
        }
    }
}
