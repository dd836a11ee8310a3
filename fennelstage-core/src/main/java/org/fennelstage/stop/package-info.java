/**
 * Decisions of a VM that stops: what it still accepts, when it responds to the last requests, and
 * when it exits.
 */
package org.fennelstage.stop;
