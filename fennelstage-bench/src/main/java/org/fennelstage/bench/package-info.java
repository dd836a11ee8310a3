/**
 * Load generator, checker of promises, and yardsticks for decisions. Nothing here is part of the
 * product.
 */
package org.fennelstage.bench;
