/** Promises of quality, cost and speed. */
package org.fennelstage.profile;
