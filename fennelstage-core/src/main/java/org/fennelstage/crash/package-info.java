/**
 * Detection, quarantine and release of contents and parts of prompts that crash the backend servers
 * that run them.
 */
package org.fennelstage.crash;
