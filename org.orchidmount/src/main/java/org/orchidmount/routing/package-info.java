/** Pure decision logic: which engines take a request, when it waits and when it is refused. */
package org.orchidmount.routing;
