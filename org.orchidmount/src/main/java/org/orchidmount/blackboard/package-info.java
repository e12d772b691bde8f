/** Shared state that controllers read and write: upstreams, reservations, queue, requests. */
package org.orchidmount.blackboard;
