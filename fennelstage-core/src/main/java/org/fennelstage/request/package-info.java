/** Request ids and the retry budget. */
package org.fennelstage.request;
