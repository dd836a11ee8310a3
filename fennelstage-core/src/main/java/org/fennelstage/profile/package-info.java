/** Profiles: objectives for quality, cost and latency that callers select. */
package org.fennelstage.profile;
