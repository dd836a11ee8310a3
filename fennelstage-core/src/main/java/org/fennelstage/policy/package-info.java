/** Routing mechanisms that can be disabled individually for measurements. */
package org.fennelstage.policy;
