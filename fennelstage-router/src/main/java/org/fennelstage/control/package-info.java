/**
 * Duties assigned to individual VMs of a data centre: watching the configuration, writing claims
 * and bills, and running rollouts.
 *
 * <p>Locking: each class guards its state with its own monitor. No method calls another class of
 * this package, the store or a peer while it holds a monitor; futures are completed outside of all
 * monitors.
 */
package org.fennelstage.control;
