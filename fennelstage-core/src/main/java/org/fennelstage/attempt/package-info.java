/** What one request's attempts permit: may it have run, may it be sent again, what to answer. */
package org.fennelstage.attempt;
