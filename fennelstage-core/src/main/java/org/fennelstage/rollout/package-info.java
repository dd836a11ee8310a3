/** Roll-outs, the evidence on candidates, and their exposure. */
package org.fennelstage.rollout;
