/**
 * Small stand-ins for the systems around fennelstage: object API, model engines, plain services and
 * the rating service. For trials, tests and experiments only.
 */
package org.fennelstage.standin;
