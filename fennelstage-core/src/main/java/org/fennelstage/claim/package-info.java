/** The right to run a request that may not run twice. */
package org.fennelstage.claim;
