/** Backend servers, their load, and the choice among them. */
package org.fennelstage.backend;
