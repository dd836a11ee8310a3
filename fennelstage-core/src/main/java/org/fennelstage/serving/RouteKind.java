package org.fennelstage.serving;

/** What may be repeated of a route's requests. */
public enum RouteKind {
    /** Requests may run any number of times. */
    IDEMPOTENT,
    /** A request may run at most once. */
    AT_MOST_ONCE,
    /** The response is a stream of events; repeated only where the route is resumable. */
    STREAM
}
