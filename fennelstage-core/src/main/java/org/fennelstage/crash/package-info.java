/** Requests that end the workers that run them: how they are recognised, and by whom. */
package org.fennelstage.crash;
