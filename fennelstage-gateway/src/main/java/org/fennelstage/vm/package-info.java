/** The lifecycle of a VM's process: start, readiness, updates from the store, graceful stop. */
package org.fennelstage.vm;
