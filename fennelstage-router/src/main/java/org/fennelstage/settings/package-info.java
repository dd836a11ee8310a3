/** Settings of a VM: read from an INI file and validated completely before the VM starts. */
package org.fennelstage.settings;
