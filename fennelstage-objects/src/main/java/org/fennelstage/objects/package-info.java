/** The object API, its client, and the JSON encoding of stored values. */
package org.fennelstage.objects;
