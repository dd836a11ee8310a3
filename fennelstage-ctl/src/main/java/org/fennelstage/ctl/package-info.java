/** The {@code fennelctl} program: declarations from version control, roll-outs, reports. */
package org.fennelstage.ctl;
