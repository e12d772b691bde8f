/** Locks whose order is stated once and checked while running. */
package org.orchidmount.internal.lock;
