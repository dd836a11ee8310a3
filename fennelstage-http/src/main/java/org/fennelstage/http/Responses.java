package org.fennelstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Response listeners for common cases. Stateless and thread-safe. */
public final class Responses {

    private Responses() {}

    /**
     * A complete response. Thread-safe as long as nobody modifies its headers and body.
     *
     * @param status the status code
     * @param headers the headers
     * @param body the body
     */
    public record FullResponse(int status, HttpHeaders headers, byte[] body) {}

    /**
     * Returns a listener that collects the complete response.
     *
     * @param onResponse receives the response
     * @param onFailure receives the failure
     * @return the listener; not thread-safe
     */
    public static ResponseListener collecting(
            final Consumer<FullResponse> onResponse, final Consumer<CallFailure> onFailure) {
        return new ResponseListener() {
            private final ByteArrayOutputStream body = new ByteArrayOutputStream();
            private int status;
            private HttpHeaders headers;

            @Override
            public void onHead(final int newStatus, final HttpHeaders newHeaders) {
                status = newStatus;
                headers = newHeaders;
            }

            @Override
            public void onContent(final ByteBuf content) {
                body.writeBytes(ByteBufUtil.getBytes(content));
            }

            @Override
            public void onEnd() {
                onResponse.accept(new FullResponse(status, headers, body.toByteArray()));
            }

            @Override
            public void onFailure(final CallFailure failure) {
                onFailure.accept(failure);
            }
        };
    }
}
