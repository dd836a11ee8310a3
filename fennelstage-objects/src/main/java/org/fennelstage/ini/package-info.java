/** A reader of INI files that reports all mistakes in a file together. */
package org.fennelstage.ini;
