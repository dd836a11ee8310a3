package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Feeds the response on one connection to the listener of the call that owns it.
 *
 * <p>Invariant: a connection goes back to the pool only after a complete response that answered its
 * call, with the request written whole, no byte left over and no response dropped. Everything else
 * closes it, since nothing tells then to which request the next bytes belong.
 *
 * <p>Confined to the connection's event loop.
 */
final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

    private ChannelHandlerContext own;
    private Call call;
    private ResponseListener listener;
    private CallOptions options = CallOptions.DEFAULT;
    private Consumer<Optional<Duration>> giveBack;
    private ScheduledFuture<?> silenceTimer;
    private long lastReadNanos;
    private boolean requestWritten;
    private boolean headSeen;
    private boolean used;
    private boolean kept;
    private boolean dropping;
    private boolean reusable;
    private boolean returning;
    private Optional<Duration> keptFor = Optional.empty();

    void begin(
            final Call newCall,
            final ResponseListener newListener,
            final CallOptions newOptions,
            final Consumer<Optional<Duration>> newGiveBack) {
        call = newCall;
        listener = newListener;
        options = newOptions;
        giveBack = newGiveBack;
        requestWritten = false;
        headSeen = false;
        kept = used;
        used = true;
        dropping = false;
        reusable = true;
        returning = false;
        keptFor = Optional.empty();
        lastReadNanos = System.nanoTime();
        armSilenceTimer(options.inactivityTimeout().toNanos());
    }

    void requestWritten() {
        requestWritten = true;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        own = context;
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpObject message) {
        if (listener == null) {
            returning = false;
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
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
        if (returning) {
            returning = false;
            returnOrClose(context);
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        cancelSilenceTimer();
        fail("connection closed");
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
        context.close();
    }

    private void armSilenceTimer(final long nanos) {
        silenceTimer = own.executor().schedule(this::checkSilence, nanos, TimeUnit.NANOSECONDS);
    }

    private void checkSilence() {
        silenceTimer = null;
        if (listener == null) {
            return;
        }
        final boolean paused = !own.channel().config().isAutoRead();
        if (paused) {
            lastReadNanos = System.nanoTime();
        }
        final long left =
                options.inactivityTimeout().toNanos() - (System.nanoTime() - lastReadNanos);
        if (left > 0) {
            armSilenceTimer(left);
            return;
        }
        fail("no byte for " + options.inactivityTimeout().toMillis() + " ms");
        own.close();
    }

    private void onHead(final HttpResponse response) {
        final boolean informational =
                response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        dropping = informational || !options.matchesCall().test(response.headers());
        if (dropping) {
            reusable = reusable && informational;
            return;
        }
        headSeen = true;
        reusable = reusable && HttpUtil.isKeepAlive(response);
        keptFor = KeepAlive.timeout(response.headers());
        if (!call.isCancelled()) {
            listener.onHead(response.status().code(), response.headers());
        }
    }

    private void onContent(final ChannelHandlerContext context, final HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        if (dropping) {
            dropping = !last;
            return;
        }
        if (content.content().isReadable() && !call.isCancelled()) {
            listener.onContent(content.content());
        }
        if (last && listener != null) {
            finish(context);
        }
    }

    private void finish(final ChannelHandlerContext context) {
        final ResponseListener ended = listener;
        final Call endedCall = call;
        listener = null;
        call = null;
        endedCall.detach();
        cancelSilenceTimer();
        context.channel().config().setAutoRead(true);
        returning = true;
        if (!endedCall.isCancelled()) {
            ended.onEnd();
        }
    }

    /**
     * Decides when all bytes that came with the end of the response have been seen. Earlier, a
     * second response in the same packet would be read as the answer to the next request.
     */
    private void returnOrClose(final ChannelHandlerContext context) {
        final boolean surplus = context.pipeline().get(StrictResponseDecoder.class).hasSurplus();
        if (reusable && requestWritten && !surplus) {
            giveBack.accept(keptFor);
        } else {
            context.close();
        }
    }

    private void cancelSilenceTimer() {
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
            silenceTimer = null;
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
        cancelSilenceTimer();
        if (!failedCall.isCancelled()) {
            final CallFailure.Phase phase =
                    headSeen ? CallFailure.Phase.RESPONDING : CallFailure.Phase.MAYBE_SENT;
            failed.onFailure(new CallFailure(phase, kept && !headSeen, detail));
        }
    }
}
