/**
 * The backend servers as one VM of fennelstage-gateway sees them: their entries in the store, the
 * VM's own requests, load and health.
 */
package org.fennelstage.fleet;
