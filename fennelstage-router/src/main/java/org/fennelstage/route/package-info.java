/**
 * The way of a request: from the caller through authentication, admission and the choice of version
 * and worker to a backend server, and of the answer back.
 *
 * <p>Everything that belongs to one request is confined to the event loop of its caller's
 * connection. What requests share are tables with monitors or concurrent maps of their own, none of
 * which is held while another is taken.
 */
package org.fennelstage.route;
