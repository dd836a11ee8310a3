/** HTTP/1.1 server and client over Netty's codec, as every process of the system uses them. */
package org.fennelstage.http;
