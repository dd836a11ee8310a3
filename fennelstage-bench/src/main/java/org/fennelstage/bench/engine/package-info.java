/**
 * Model engines and VMs in virtual time: the real decisions under loads that are drawn from a seed.
 */
package org.fennelstage.bench.engine;
