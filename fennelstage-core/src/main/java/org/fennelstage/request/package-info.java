/** Ids and retries of requests. */
package org.fennelstage.request;
