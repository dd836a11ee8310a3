/** The entry VMs as one of them sees them, and who has which duty. */
package org.fennelstage.member;
