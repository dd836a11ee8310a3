/**
 * Rollouts of services in fennelstage-gateway: the traffic that a new version gets, and when the
 * rollout is halted or completed.
 */
package org.fennelstage.canary;
