package org.fennelstage.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.fennelstage.http.ServerExchange;

/**
 * Translates between the names on the wire and the router's types. It decides nothing.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface WireCodec {

    /**
     * Decodes a caller's request.
     *
     * @param exchange the request as received
     * @return the request
     * @throws MalformedRequestException if the request lacks what every request needs
     */
    CallerRequest decode(ServerExchange exchange) throws MalformedRequestException;

    /**
     * Encodes a request for a worker.
     *
     * @param request the caller's request
     * @param dispatch what goes with it
     * @return the request to send
     */
    FullHttpRequest encode(CallerRequest request, AttemptMetadata dispatch);

    /**
     * Tells whether an answer belongs to a request.
     *
     * @param headers the answer's headers
     * @param requestId the request
     * @return false if the answer names another request
     */
    boolean matchesRequest(HttpHeaders headers, String requestId);

    /**
     * Decodes the head of a worker's answer.
     *
     * @param status the status code
     * @param headers the headers
     * @return the head
     */
    ResponseHead decodeResponse(int status, HttpHeaders headers);

    /**
     * Returns the headers of an answer of the router's own.
     *
     * @param requestId the request that is answered
     * @param retryAfter how long the caller should wait before it asks again, empty if it should
     *     not
     * @return the headers
     */
    HttpHeaders errorHeaders(String requestId, Optional<Duration> retryAfter);
}
