/** Reports, from the structured logs of VMs, which requests were late or lost and why. */
package org.fennelstage.report;
