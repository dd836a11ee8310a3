package org.fennelstage.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.placement.Prompt;

/**
 * A decoded request of a caller. Immutable except for the headers and the body, which must not be
 * modified.
 *
 * @param id the id of the request, sent to backend servers and written to each log event
 * @param method the HTTP method
 * @param uri path and query as received
 * @param host the host that the caller named
 * @param headers the headers to forward to a backend server
 * @param body the body
 * @param key the caller's API key, empty if absent
 * @param deadline how long the caller waits, empty if not given
 * @param lastEventId the event after which a stream continues, empty to start from the beginning
 * @param prompt the prompt for a model, empty if the request declares none
 * @param session the session of the request, empty if it belongs to none
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

    /** Number of parts that are recognised, so that reports fit into datagrams. */
    private static final int MAX_PARTS = 16;

    public CallerRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(uri, "uri is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns the fingerprint of host, URI, key and body, which a retry by the caller shares, and
     * those of the parts of the prompt that other requests may share.
     *
     * @return the fingerprints
     */
    public RequestFingerprints fingerprints() {
        return new RequestFingerprints(
                Fingerprint.of(host, uri, key.orElse(""), body),
                prompt.map(Prompt::sharedParts).orElse(List.of()).stream()
                        .map(part -> Fingerprint.ofPromptPart(part.id()))
                        .distinct()
                        .limit(MAX_PARTS)
                        .toList());
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
