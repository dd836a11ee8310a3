/** Configuration objects of fennelstage-router, their revisions, and the current configuration. */
package org.fennelstage.configuration;
