/** Which size of model answers a request, and whether its answer is good enough. */
package org.fennelstage.sizing;
