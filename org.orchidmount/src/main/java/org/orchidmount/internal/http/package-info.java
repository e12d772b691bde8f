/** Blocking views of Undertow's asynchronous client and server for virtual threads. */
package org.orchidmount.internal.http;
