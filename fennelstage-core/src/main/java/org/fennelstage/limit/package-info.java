/** Bounds on rates. */
package org.fennelstage.limit;
