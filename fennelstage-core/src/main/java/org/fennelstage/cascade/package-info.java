/** Whether a cheap model answers, an expensive one, or the one after the other. */
package org.fennelstage.cascade;
