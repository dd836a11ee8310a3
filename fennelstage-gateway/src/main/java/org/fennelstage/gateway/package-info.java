/** Serves callers: from a caller's request to a worker and back, on one event loop. */
package org.fennelstage.gateway;
