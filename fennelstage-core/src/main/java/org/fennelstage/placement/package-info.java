/** Which worker gets a request. */
package org.fennelstage.placement;
