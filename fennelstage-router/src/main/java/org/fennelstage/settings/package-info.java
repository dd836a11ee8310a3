/** What a VM is told at its start: INI settings, checked as a whole before anything runs. */
package org.fennelstage.settings;
