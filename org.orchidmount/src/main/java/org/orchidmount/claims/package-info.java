/** Claims that let a not-repeatable request run at most once. */
package org.orchidmount.claims;
