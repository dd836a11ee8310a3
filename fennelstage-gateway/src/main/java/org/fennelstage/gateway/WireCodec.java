package org.fennelstage.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.fennelstage.http.ServerExchange;

/**
 * Translates between the wire format and the types of the gateway; makes no decisions.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface WireCodec {

    /**
     * Decodes a caller's request.
     *
     * @param exchange the request as received
     * @return the decoded request
     * @throws MalformedRequestException if a required header is missing or a value is invalid
     */
    CallerRequest decode(ServerExchange exchange) throws MalformedRequestException;

    /**
     * Encodes a request for a backend server.
     *
     * @param request the caller's request
     * @param metadata the metadata to add
     * @return the request to send
     */
    FullHttpRequest encode(CallerRequest request, AttemptMetadata metadata);

    /**
     * Encodes a request for another VM, which decodes it as a caller's request.
     *
     * @param request the caller's request
     * @param remaining the time left until its deadline
     * @param lastEventId the event after which a stream continues, empty to start from the
     *     beginning
     * @return the request to send
     */
    FullHttpRequest encodeForwarded(
            CallerRequest request, Duration remaining, Optional<String> lastEventId);

    /**
     * Returns whether a response belongs to a request.
     *
     * @param headers the headers of the response
     * @param requestId the id of the request
     * @return false if the response names another request
     */
    boolean matchesRequest(HttpHeaders headers, String requestId);

    /**
     * Decodes the head of a backend server's response.
     *
     * @param status the status code
     * @param headers the headers
     * @return the decoded head
     */
    ResponseHead decodeResponse(int status, HttpHeaders headers);

    /**
     * Returns the headers of an error response that this VM generates.
     *
     * @param requestId the id of the request, empty if unknown
     * @param retryAfter how long the caller should wait before a retry, empty if it should not
     *     retry
     * @return the headers
     */
    HttpHeaders errorHeaders(String requestId, Optional<Duration> retryAfter);
}
