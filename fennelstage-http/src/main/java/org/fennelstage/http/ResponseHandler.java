package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Feeds the response on one connection to the listener of the call that owns it. */
final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

    private Call call;
    private ResponseListener listener;
    private Runnable giveBack;
    private Duration silence;
    private ScheduledFuture<?> timer;
    private long lastReadNanos;
    private boolean headSeen;
    private boolean keepAlive;

    void begin(
            final Call newCall,
            final ResponseListener newListener,
            final Duration newSilence,
            final Runnable newGiveBack) {
        call = newCall;
        listener = newListener;
        silence = newSilence;
        giveBack = newGiveBack;
        headSeen = false;
        lastReadNanos = System.nanoTime();
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        timer =
                context.executor()
                        .scheduleWithFixedDelay(
                                () -> checkSilence(context), 250, 250, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpObject message) {
        if (listener == null) {
            context.close();
            return;
        }
        lastReadNanos = System.nanoTime();
        if (message.decoderResult().isFailure()) {
            context.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            headSeen = true;
            keepAlive = HttpUtil.isKeepAlive(response);
            if (!call.isCancelled()) {
                listener.onHead(response.status().code(), response.headers());
            }
        }
        if (message instanceof HttpContent content) {
            if (content.content().isReadable() && !call.isCancelled()) {
                listener.onContent(content.content());
            }
            if (message instanceof LastHttpContent) {
                finish(context);
            }
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        timer.cancel(false);
        fail("connection closed");
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
        context.close();
    }

    private void checkSilence(final ChannelHandlerContext context) {
        final boolean reading = context.channel().config().isAutoRead();
        if (!reading) {
            lastReadNanos = System.nanoTime();
            return;
        }
        if (listener != null && System.nanoTime() - lastReadNanos > silence.toNanos()) {
            fail("no byte for " + silence.toMillis() + " ms");
            context.close();
        }
    }

    private void finish(final ChannelHandlerContext context) {
        final ResponseListener ended = listener;
        final Call endedCall = call;
        final Runnable back = giveBack;
        listener = null;
        call = null;
        endedCall.detach();
        context.channel().config().setAutoRead(true);
        if (keepAlive) {
            back.run();
        } else {
            context.close();
        }
        if (!endedCall.isCancelled()) {
            ended.onEnd();
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
        if (!failedCall.isCancelled()) {
            final CallFailure.Phase phase =
                    headSeen ? CallFailure.Phase.RESPONDING : CallFailure.Phase.MAYBE_SENT;
            failed.onFailure(new CallFailure(phase, detail));
        }
    }
}
