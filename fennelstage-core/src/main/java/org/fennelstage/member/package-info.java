/** Membership and failure detection of VMs, and the assignment of duties to them. */
package org.fennelstage.member;
