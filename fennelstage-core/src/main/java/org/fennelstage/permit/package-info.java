/** Permits that limit how many requests of all VMs are at one backend server at a time. */
package org.fennelstage.permit;
