/** Typed identifiers. */
package org.fennelstage.id;
