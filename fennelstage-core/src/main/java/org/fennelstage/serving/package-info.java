/**
 * The configuration of fennelstage-gateway: routes, services, models, limits and the teams' keys.
 */
package org.fennelstage.serving;
