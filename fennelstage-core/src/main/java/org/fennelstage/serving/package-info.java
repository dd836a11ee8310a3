/** The serving configuration: routes, services, models, limits and the teams' keys. */
package org.fennelstage.serving;
