package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CollectedResponseTest {

    private static final int PART_BYTES = 1 << 20;
    private static final int MAX_PARTS = 8;

    /** Memory that counts what is taken. */
    private static final class CountedMemory implements SharedMemory {

        private final long total;
        private long taken;

        private CountedMemory(final long total) {
            this.total = total;
        }

        @Override
        public boolean tryTake(final long bytes) {
            if (taken + bytes > total) {
                return false;
            }
            taken += bytes;
            return true;
        }

        @Override
        public void giveBack(final long bytes) {
            taken -= bytes;
        }
    }

    private final CountedMemory memory = new CountedMemory(100L << 20);
    private final Call call = new Call();
    private final List<Object> ends = new ArrayList<>();

    private CollectedResponse response(final CountedMemory from) {
        final CollectedResponse response = new CollectedResponse(call, from, ends::add, ends::add);
        response.onHead(200, new DefaultHttpHeaders());
        return response;
    }

    private static void send(final CollectedResponse response, final int parts) {
        for (int i = 0; i < parts; i++) {
            response.onContent(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
        }
    }

    /** Guards against a remote end that sends without end and uses up the memory. */
    @Test
    void aResponseWithoutEndFailsAndClosesItsConnection() {
        final CollectedResponse response = response(memory);
        send(response, MAX_PARTS);
        assertThat(call.isCancelled()).isFalse();
        send(response, 1);
        assertThat(call.isCancelled()).isTrue();
        assertThat(ends).singleElement().isInstanceOf(CallFailure.class);
        assertThat(memory.taken).isZero();
    }

    /** Guards against many remote ends that together use up the memory. */
    @Test
    void aResponseThatExceedsTheSharedMemoryFails() {
        final CountedMemory small = new CountedMemory(PART_BYTES);
        send(response(small), 2);
        assertThat(call.isCancelled()).isTrue();
        assertThat(ends).singleElement().isInstanceOf(CallFailure.class);
        assertThat(small.taken).isZero();
    }

    @Test
    void aWholeResponseIsKeptUntilItWasHandled() {
        final List<Long> takenWhileHandled = new ArrayList<>();
        final CollectedResponse response =
                new CollectedResponse(
                        call, memory, whole -> takenWhileHandled.add(memory.taken), ends::add);
        response.onHead(200, new DefaultHttpHeaders());
        send(response, 2);
        response.onEnd();
        assertThat(takenWhileHandled).containsExactly(2L * PART_BYTES);
        assertThat(memory.taken).isZero();
        assertThat(ends).isEmpty();
    }

    /** Guards against memory that calls use up whose requesters have left. */
    @Test
    void aCancelledCallGivesItsMemoryBack() {
        send(response(memory), 3);
        call.cancel();
        assertThat(memory.taken).isZero();
    }

    @Test
    void aFailedCallGivesItsMemoryBack() {
        final CollectedResponse response = response(memory);
        send(response, 3);
        response.onFailure(new CallFailure(CallFailure.Phase.RESPONDING, false, "closed"));
        assertThat(memory.taken).isZero();
        assertThat(ends).hasSize(1);
    }
}
