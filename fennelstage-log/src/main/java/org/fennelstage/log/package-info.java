/** Numbered log events. The catalogue is docs/LOG-EVENTS.md. */
package org.fennelstage.log;
