/** What requests cost, and the sets in which bills are kept. */
package org.fennelstage.bill;
