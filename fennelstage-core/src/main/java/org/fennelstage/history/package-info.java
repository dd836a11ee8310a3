/** Where in the store's history something was said, also across the store's return from a copy. */
package org.fennelstage.history;
