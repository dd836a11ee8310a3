/** Limits of rates and of memory. */
package org.fennelstage.limit;
