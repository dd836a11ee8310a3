/**
 * Attempts of a request in fennelstage-gateway: whether it may have run, whether to retry it, and
 * when to time out.
 */
package org.fennelstage.attempt;
