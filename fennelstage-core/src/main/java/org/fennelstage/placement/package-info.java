/** Chooses the backend server that gets a request. */
package org.fennelstage.placement;
