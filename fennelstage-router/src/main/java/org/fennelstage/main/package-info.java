/** The {@code fennelstage} program: runs a VM, validates its settings, and runs trials. */
package org.fennelstage.main;
