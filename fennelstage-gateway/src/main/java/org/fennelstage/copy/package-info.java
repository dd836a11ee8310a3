/** Copies of the state of other VMs, for a VM that starts while the store is unavailable to it. */
package org.fennelstage.copy;
