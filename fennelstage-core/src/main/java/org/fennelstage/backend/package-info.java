/** Backend servers of fennelstage-router, their load, and the selection of one for a request. */
package org.fennelstage.backend;
