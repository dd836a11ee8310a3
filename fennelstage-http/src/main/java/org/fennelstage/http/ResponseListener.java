package org.fennelstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the response to one call.
 *
 * <p>Invariant: {@code onHead} at most once, then {@code onContent} any number of times, then
 * exactly one of {@code onEnd} and {@code onFailure}, all on the call's event loop; nothing after
 * the call was cancelled.
 */
public interface ResponseListener {

    /**
     * Called when the status line and headers were received.
     *
     * @param status the status code
     * @param headers the headers
     */
    void onHead(int status, HttpHeaders headers);

    /**
     * Called when a part of the body was received.
     *
     * @param content the bytes; valid only until this method returns, unless retained
     */
    void onContent(ByteBuf content);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the call failed and the response will not be completed.
     *
     * @param failure how far the request got, and why it failed
     */
    void onFailure(CallFailure failure);
}
