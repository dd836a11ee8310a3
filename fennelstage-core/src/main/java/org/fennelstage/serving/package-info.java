/** What is served and how: routes, services, models, limits and the teams' keys of one version. */
package org.fennelstage.serving;
