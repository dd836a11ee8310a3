/** Declarations, their revisions, and the configuration in force. */
package org.fennelstage.configuration;
