package org.fennelstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.function.Consumer;
import org.fennelstage.http.Responses.FullResponse;

/**
 * Keeps a response until it is whole. One that exceeds its limit, or for which the shared memory
 * does not suffice, fails and closes its connection: the remote end may send without end.
 *
 * <p>Invariant: what was taken of the shared memory is given back when the call has ended, also if
 * it was cancelled. Not thread-safe; confined to the event loop.
 */
final class CollectedResponse implements ResponseListener {

    /** Largest response that is kept; bytes. */
    private static final long MAX_BYTES = 8L << 20;

    private final Call call;
    private final SharedMemory memory;
    private final Consumer<FullResponse> onResponse;
    private final Consumer<CallFailure> onFailure;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private HttpHeaders headers;
    private long taken;

    CollectedResponse(
            final Call call,
            final SharedMemory memory,
            final Consumer<FullResponse> onResponse,
            final Consumer<CallFailure> onFailure) {
        this.call = Objects.requireNonNull(call, "call is null");
        this.memory = Objects.requireNonNull(memory, "memory is null");
        this.onResponse = Objects.requireNonNull(onResponse, "onResponse is null");
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure is null");
        call.onCancelled(this::release);
    }

    @Override
    public void onHead(final int newStatus, final HttpHeaders newHeaders) {
        status = newStatus;
        headers = newHeaders;
    }

    @Override
    public void onContent(final ByteBuf content) {
        final int bytes = content.readableBytes();
        if (taken + bytes > MAX_BYTES || !memory.tryTake(bytes)) {
            fail(taken + bytes);
            return;
        }
        taken += bytes;
        body.writeBytes(ByteBufUtil.getBytes(content));
    }

    private void fail(final long bytes) {
        call.cancel();
        onFailure.accept(
                new CallFailure(
                        CallFailure.Phase.RESPONDING,
                        false,
                        "response too large, over " + bytes + " bytes"));
    }

    @Override
    public void onEnd() {
        final FullResponse response = new FullResponse(status, headers, body.toByteArray());
        try {
            onResponse.accept(response);
        } finally {
            release();
        }
    }

    @Override
    public void onFailure(final CallFailure failure) {
        release();
        onFailure.accept(failure);
    }

    private void release() {
        memory.giveBack(taken);
        taken = 0;
        body.reset();
    }
}
