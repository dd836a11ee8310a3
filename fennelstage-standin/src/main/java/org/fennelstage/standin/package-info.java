/**
 * Stand-ins for the systems that fennelstage depends on: object API, model engines, plain services
 * and the rating service. For tests and experiments only.
 */
package org.fennelstage.standin;
