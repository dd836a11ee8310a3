/**
 * Decisions of a VM that starts while the store is unavailable to it, and of those that help it.
 */
package org.fennelstage.startup;
