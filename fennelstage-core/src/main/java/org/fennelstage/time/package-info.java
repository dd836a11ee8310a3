/** Injectable clocks. */
package org.fennelstage.time;
