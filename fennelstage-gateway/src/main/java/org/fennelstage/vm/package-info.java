/** The life of one VM's process: start, readiness, news from the store, graceful stop. */
package org.fennelstage.vm;
