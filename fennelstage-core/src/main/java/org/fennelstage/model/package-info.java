/** Versions of models, and the choice of the version that runs a request. */
package org.fennelstage.model;
