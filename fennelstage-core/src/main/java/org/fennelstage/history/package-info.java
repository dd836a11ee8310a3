/** Positions in the store's history, comparable across restores of the store from a copy. */
package org.fennelstage.history;
