/** Claims that keep a non-idempotent request from running twice. */
package org.fennelstage.claim;
