/** Sessions and session tokens. */
package org.fennelstage.session;
