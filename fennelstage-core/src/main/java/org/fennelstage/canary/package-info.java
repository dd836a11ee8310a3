/** How much of a service's traffic a new version gets, and when it is found bad or good. */
package org.fennelstage.canary;
