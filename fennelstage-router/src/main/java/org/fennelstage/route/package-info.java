/**
 * Request routing: authentication, admission, selection of a model version and a backend server,
 * attempts, and the response to the caller.
 *
 * <p>The state of one request is confined to the event loop of its caller's connection. Shared
 * state is held in thread-safe tables; no lock is held while another one is acquired.
 */
package org.fennelstage.route;
