/** The store that holds what must last: its port, and followers that keep up with its objects. */
package org.fennelstage.store;
