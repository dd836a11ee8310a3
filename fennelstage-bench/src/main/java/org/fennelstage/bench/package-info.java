/**
 * Load generator, checker and benchmarks, run with {@code bin/bench NAME}. Not part of the product.
 */
package org.fennelstage.bench;
