/** Sessions and their tokens. */
package org.fennelstage.session;
