/**
 * Decides in fennelstage-router whether the cheap model, the best model, or both in sequence answer
 * a request.
 */
package org.fennelstage.cascade;
