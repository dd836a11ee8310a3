package org.fennelstage.canary;

import org.fennelstage.id.BackendServerId;

/** Receives the responses of a new version that failed or are slow. */
@FunctionalInterface
public interface BadResponseListener {

    /**
     * Receives a response.
     *
     * @param server its backend server
     * @param measure in what it is bad
     * @param millis the time that it has taken, for a stream per event; milliseconds; 0 if it
     *     failed
     * @param limitMillis the time from which it is slow; milliseconds; 0 if it failed
     */
    void onBadResponse(BackendServerId server, Measure measure, double millis, double limitMillis);
}
