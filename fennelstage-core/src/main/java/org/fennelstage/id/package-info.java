/** Value types for names. */
package org.fennelstage.id;
