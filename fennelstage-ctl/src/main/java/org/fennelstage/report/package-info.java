/** Reads the structured logs of VMs and says where requests were lost or late, and why. */
package org.fennelstage.report;
