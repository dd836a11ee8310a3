/**
 * Messages between entry VMs: transport, membership and the spreading of configuration and halts.
 */
package org.fennelstage.peer;
