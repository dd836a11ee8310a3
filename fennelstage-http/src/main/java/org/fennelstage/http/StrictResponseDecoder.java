package org.fennelstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Netty's response decoder, which decodes only while a response is due, and reports other bytes and
 * whether a connection was lost.
 *
 * <p>A faulty server may send more than one response to a request, or a part of one. On a reused
 * connection it would be treated as the response to the next request, or as the beginning of its
 * head, and could reach another caller. Invariant: bytes that arrive while no response is due never
 * become part of one, and a head that was cut never becomes the beginning of another one.
 *
 * <p>A body without a length ends with its connection. The decoder ends it whatever closed the
 * connection; only if the server has closed its side can the body be complete ({@link EndOfInput}).
 * Requires {@link io.netty.channel.ChannelOption#ALLOW_HALF_CLOSURE}, without which Netty reports
 * no such end.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    /** Begins a head; within one, it begins the head of another response. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private boolean headRequested;
    private boolean due;
    private boolean usedBefore;
    private boolean followsAnother;
    private ByteBuf input;
    private int decodedFrom;
    private int statusLines;
    private boolean excessBytes;
    private boolean inputEnded;
    private boolean connectionLost;

    /**
     * Starts to decode a response.
     *
     * @param headRequest whether it is to a HEAD request and so has no body
     */
    void expect(final boolean headRequest) {
        headRequested = headRequest;
        due = true;
        followsAnother = usedBefore;
        usedBefore = true;
    }

    /** Ends the decoding; to be called at the last content of the response that was due. */
    void onResponseEnded() {
        due = false;
    }

    @Override
    protected void decode(
            final ChannelHandlerContext context, final ByteBuf in, final List<Object> out)
            throws Exception {
        if (!due) {
            excessBytes = true;
            in.skipBytes(in.readableBytes());
            return;
        }
        input = in;
        decodedFrom = in.readerIndex();
        super.decode(context, in, out);
        if (followsAnother) {
            statusLines = out.isEmpty() ? statusLines + decodedStatusLines() : 0;
        }
    }

    /** Called once the head is read; an exception makes the response malformed. */
    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        if (followsAnother && statusLines + decodedStatusLines() > 1) {
            throw new IllegalArgumentException("a head that was cut before another one");
        }
        return headRequested || super.isContentAlwaysEmpty(message);
    }

    /**
     * Returns how many status lines the bytes that were decoded last contain. If a head contains a
     * second one, its first belongs to a response to an earlier request, which was cut and arrived
     * late. Searches the bytes, since the decoder drops what follows a name without a colon.
     */
    private int decodedStatusLines() {
        final int length = input.readerIndex() - decodedFrom;
        final String decoded = input.toString(decodedFrom, length, StandardCharsets.ISO_8859_1);
        return (int) STATUS_LINE.matcher(decoded).results().count();
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event)
            throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            inputEnded = true;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) throws Exception {
        connectionLost = !inputEnded;
        super.channelInactive(context);
    }

    /** Returns whether the server has closed its side. */
    boolean isInputEnded() {
        return inputEnded;
    }

    /** Returns whether the connection was closed before the server had closed its side. */
    boolean isConnectionLost() {
        return connectionLost;
    }

    /** Returns whether bytes have arrived while no response was due. */
    boolean hasExcessBytes() {
        return excessBytes;
    }
}
