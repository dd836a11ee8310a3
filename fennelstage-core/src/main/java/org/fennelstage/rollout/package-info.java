/**
 * Rollouts of models in fennelstage-router: the evidence on new versions, and the limits on the
 * requests sent to them.
 */
package org.fennelstage.rollout;
