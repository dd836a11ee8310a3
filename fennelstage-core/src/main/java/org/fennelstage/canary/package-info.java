/** Canary rollouts: the traffic that a new version gets, and when it is halted or completed. */
package org.fennelstage.canary;
