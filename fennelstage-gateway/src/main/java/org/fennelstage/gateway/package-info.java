/** Forwards callers' requests to backend servers and returns the responses, on one event loop. */
package org.fennelstage.gateway;
