package org.fennelstage.objects;

/** How much a call to the object API matters when calls are scarce; the first matters most. */
public enum CallPriority {
    /** Withdrawals, claims: waiting costs a promise. */
    URGENT,
    /** Bills, configuration, shares of exposure: may wait for a second. */
    NORMAL,
    /** Status and reports: may be left out. */
    BACKGROUND
}
