package org.fennelstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Hears the response to one call.
 *
 * <p>Order: at most one head, then contents, then exactly one of end or failure. All calls come on
 * the call's event loop.
 */
public interface ResponseListener {

    /**
     * The status line and headers came.
     *
     * @param status the status code
     * @param headers the headers
     */
    void onHead(int status, HttpHeaders headers);

    /**
     * A part of the body came.
     *
     * @param content the bytes, valid only during the call unless retained
     */
    void onContent(ByteBuf content);

    /** The response is whole. */
    void onEnd();

    /**
     * The response will not become whole.
     *
     * @param failure how far the request got, and why it failed
     */
    void onFailure(CallFailure failure);
}
