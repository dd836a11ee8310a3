/**
 * Chooses the model size for a request in fennelstage-gateway, and decides whether an answer is
 * good enough.
 */
package org.fennelstage.sizing;
