package org.fennelstage.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalInt;
import java.util.regex.Pattern;

/**
 * Headers of requests that one VM forwards to another, and of their responses. They never reach
 * callers or backend servers. Stateless and thread-safe.
 */
final class ForwardingHeaders {

    /** The number of backend servers to which the request may be sent. */
    private static final String SERVERS = "x-fennelstage-forwarded-servers";

    /** Present if the VM reaches no backend server; the request was not sent. */
    private static final String NOT_REACHED = "x-fennelstage-servers-not-reached";

    private static final Pattern COUNT = Pattern.compile("[1-9][0-9]{0,3}");

    private ForwardingHeaders() {}

    /** Marks a request as forwarded. */
    static void setServers(final HttpHeaders headers, final int servers) {
        headers.set(SERVERS, servers);
    }

    /**
     * Returns the number of backend servers to which a forwarded request may be sent.
     *
     * @return the number, empty if the request was not forwarded
     */
    static OptionalInt servers(final HttpHeaders headers) {
        final String count = headers.get(SERVERS);
        return count != null && COUNT.matcher(count).matches()
                ? OptionalInt.of(Integer.parseInt(count))
                : OptionalInt.empty();
    }

    /** Removes the mark, so that the request can be decoded as a caller's. */
    static void removeServers(final HttpHeaders headers) {
        headers.remove(SERVERS);
    }

    static void setNotReached(final HttpHeaders headers) {
        headers.set(NOT_REACHED, "1");
    }

    static boolean isNotReached(final HttpHeaders headers) {
        return headers.contains(NOT_REACHED);
    }
}
