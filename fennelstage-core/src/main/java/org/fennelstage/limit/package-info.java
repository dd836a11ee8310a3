/** Rate limits. */
package org.fennelstage.limit;
