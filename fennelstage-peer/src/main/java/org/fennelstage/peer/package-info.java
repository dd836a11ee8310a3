/** Messages between VMs: transport, membership, and distribution of configuration and halts. */
package org.fennelstage.peer;
