/** Outcomes of requests as reported to callers. */
package org.fennelstage.outcome;
