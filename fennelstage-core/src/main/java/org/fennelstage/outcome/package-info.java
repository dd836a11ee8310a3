/** How a request ends. */
package org.fennelstage.outcome;
