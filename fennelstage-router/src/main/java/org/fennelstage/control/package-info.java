/**
 * The duties that entry VMs share out among themselves: watching the configuration, keeping claims
 * and bills, and running roll-outs.
 *
 * <p>Lock order: the tables of these classes are monitors of their own. No method holds one while
 * it calls another class, the object API or a peer; futures are completed outside of all monitors.
 */
package org.fennelstage.control;
