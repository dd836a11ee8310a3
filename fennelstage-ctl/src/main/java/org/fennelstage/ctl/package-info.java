/** The {@code fennelctl} program: applies declarations, controls rollouts, and prints reports. */
package org.fennelstage.ctl;
