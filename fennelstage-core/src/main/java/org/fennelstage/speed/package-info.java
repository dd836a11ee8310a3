/** Differences in speed between the backend servers of a service. */
package org.fennelstage.speed;
