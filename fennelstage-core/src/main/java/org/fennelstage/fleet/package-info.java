/** The backend servers as one VM sees them: store entries, own requests, load and health. */
package org.fennelstage.fleet;
