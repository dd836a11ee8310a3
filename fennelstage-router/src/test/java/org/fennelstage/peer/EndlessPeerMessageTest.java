package org.fennelstage.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import org.junit.jupiter.api.Test;

class EndlessPeerMessageTest {

    private static final int PART_BYTES = 1 << 20;
    private final EmbeddedChannel channel = new EmbeddedChannel(new LimitedFrameDecoder());

    /** Returns the length of a message as it is sent before it: seven bits in each byte. */
    private static ByteBuf length(final int bytes) {
        final ByteBuf encoded = Unpooled.buffer();
        int rest = bytes;
        while (rest > 127) {
            encoded.writeByte(rest | 128);
            rest >>>= 7;
        }
        return encoded.writeByte(rest);
    }

    private static ByteBuf part() {
        return Unpooled.wrappedBuffer(new byte[PART_BYTES]);
    }

    /** Guards against a process at the address of a former VM that sends without end. */
    @Test
    void aMessageWithoutEndFails() {
        channel.writeInbound(length(Integer.MAX_VALUE));
        for (int i = 1; i < LimitedFrameDecoder.MAX_BYTES / PART_BYTES; i++) {
            channel.writeInbound(part());
        }
        assertThatThrownBy(() -> channel.writeInbound(part()))
                .isInstanceOf(TooLongFrameException.class);
    }

    @Test
    void aMessageOfTheLargestLengthIsDecoded() {
        channel.writeInbound(length(LimitedFrameDecoder.MAX_BYTES));
        for (int i = 0; i < LimitedFrameDecoder.MAX_BYTES / PART_BYTES; i++) {
            channel.writeInbound(part());
        }
        final ByteBuf message = channel.readInbound();
        assertThat(message.readableBytes()).isEqualTo(LimitedFrameDecoder.MAX_BYTES);
        message.release();
    }
}
