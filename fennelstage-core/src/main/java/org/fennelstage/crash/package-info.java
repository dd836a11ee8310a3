/** Detection, quarantine and release of requests that crash the backend servers that run them. */
package org.fennelstage.crash;
