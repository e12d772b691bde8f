/** Failures as values: each names the step and the peer at which it arose. */
package org.orchidmount.errors;
