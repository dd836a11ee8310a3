/** HTTP/1.1 server and client on Netty, used by all processes of the project. */
package org.fennelstage.http;
