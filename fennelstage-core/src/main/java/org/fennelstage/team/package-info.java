/** Teams, their keys and limits. */
package org.fennelstage.team;
