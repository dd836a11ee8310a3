/** Bills of requests and the segments in which they are stored. */
package org.fennelstage.bill;
