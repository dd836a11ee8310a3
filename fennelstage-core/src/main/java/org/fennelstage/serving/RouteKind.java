package org.fennelstage.serving;

/** Whether a route's requests may be retried. */
public enum RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,
    /** A request may run at most once. */
    AT_MOST_ONCE,
    /** The response is a stream of events; retried only if the route is resumable. */
    STREAM
}
