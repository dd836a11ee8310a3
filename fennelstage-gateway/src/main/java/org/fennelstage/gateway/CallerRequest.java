package org.fennelstage.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.placement.Prompt;

/**
 * A caller's request, decoded. Immutable but for its headers and body, which nobody changes.
 *
 * @param id names this attempt of the caller; goes with the request to the worker and into each log
 *     line
 * @param method the HTTP method
 * @param uri path and query as received
 * @param host the host that the caller named
 * @param headers the headers that go on to the worker
 * @param body the body
 * @param key the caller's key, empty if it sent none
 * @param deadline how long the caller waits, empty if it did not say
 * @param lastEventId the event of a stream after which to go on, empty for its begin
 * @param prompt what it asks of a model engine, empty if it does not say
 * @param session names the session to which it belongs, empty if to none
 */
public record CallerRequest(
        String id,
        String method,
        String uri,
        String host,
        HttpHeaders headers,
        byte[] body,
        Optional<String> key,
        Optional<Duration> deadline,
        Optional<String> lastEventId,
        Optional<Prompt> prompt,
        Optional<String> session) {

    public CallerRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(uri, "uri is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns what the request asks and for whom, the same for each of its arrivals.
     *
     * @return the fingerprint
     */
    public Fingerprint fingerprint() {
        return Fingerprint.of(host, uri, key.orElse(""), body);
    }

    /**
     * Returns the path without its query.
     *
     * @return the path
     */
    public String path() {
        final int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
