/** Shares of the capacity of a saturated backend server, by the priority and team of requests. */
package org.fennelstage.admission;
