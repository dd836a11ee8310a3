/** Configuration objects, their revisions, and the current configuration. */
package org.fennelstage.configuration;
