/**
 * Duties assigned to individual VMs of a data centre: watching the configuration, writing claims
 * and bills, counting loads, and running rollouts. The VM that has a duty for shared state is the
 * keeper of that state.
 *
 * <p>Locking: each class guards its state with its own monitor. No method acquires the monitor of
 * another class of this package, or calls the store or a peer, while it holds one; futures are
 * completed outside of all monitors.
 */
package org.fennelstage.control;
