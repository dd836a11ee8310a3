/** The platform as the system sees it: the object API, its client and the codec of its values. */
package org.fennelstage.objects;
