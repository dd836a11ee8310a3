/** Chooses the model size for a request and decides whether an answer is good enough. */
package org.fennelstage.sizing;
