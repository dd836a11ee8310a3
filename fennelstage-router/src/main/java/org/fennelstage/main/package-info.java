/** The {@code fennelstage} program: one entry VM, checks of its settings, and trials. */
package org.fennelstage.main;
