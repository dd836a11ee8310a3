/** Clocks that are passed in. */
package org.fennelstage.time;
