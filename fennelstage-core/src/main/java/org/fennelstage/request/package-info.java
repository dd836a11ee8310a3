/** Request ids and the retry budget of fennelstage-router. */
package org.fennelstage.request;
