/** Versions of models and the choice of one. */
package org.fennelstage.model;
