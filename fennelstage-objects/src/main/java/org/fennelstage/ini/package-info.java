/** INI files read as a whole: every mistake is collected before the reader gives up. */
package org.fennelstage.ini;
