/** Implementations behind the claim interface. */
package org.orchidmount.internal.claims;
