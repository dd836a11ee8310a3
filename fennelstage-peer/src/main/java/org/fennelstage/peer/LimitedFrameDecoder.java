package org.fennelstage.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Splits what another VM sends into messages, and fails on one that is too long: the address of a
 * VM that is gone may belong to another process.
 *
 * <p>Invariant: no more than one message of the largest length and what one read brings is kept.
 * Not thread-safe; confined to the event loop.
 */
final class LimitedFrameDecoder extends ProtobufVarint32FrameDecoder {

    /** Largest message; bytes. */
    static final int MAX_BYTES = 8 << 20;

    @Override
    protected void decode(
            final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> messages)
            throws Exception {
        final int before = messages.size();
        super.decode(context, bytes, messages);
        if (messages.size() == before && bytes.readableBytes() > MAX_BYTES) {
            throw new TooLongFrameException("message of more than " + MAX_BYTES + " bytes");
        }
    }
}
