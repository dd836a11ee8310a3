/** Teams with their keys, permissions and limits. */
package org.fennelstage.team;
