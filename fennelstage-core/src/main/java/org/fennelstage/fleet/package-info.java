/** The workers as one VM knows them: entries in the store, own requests under way, evidence. */
package org.fennelstage.fleet;
