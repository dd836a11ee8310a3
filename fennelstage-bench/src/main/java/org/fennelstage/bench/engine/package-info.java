/**
 * Simulation of several VMs in front of model engines in virtual time. The VMs use the decision
 * classes of the product; the requests are drawn from a seed.
 */
package org.fennelstage.bench.engine;
