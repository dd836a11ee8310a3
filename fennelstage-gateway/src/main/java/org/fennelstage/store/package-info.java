/** Access to the external object store with the shared state, and followers of its objects. */
package org.fennelstage.store;
