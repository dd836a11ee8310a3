/** Which mechanisms of deciding are in use: all, unless one is switched off to see its worth. */
package org.fennelstage.policy;
