/** Numbered log events. They are listed in docs/LOG-EVENTS.md. */
package org.fennelstage.log;
