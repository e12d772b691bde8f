/** Limits of accounts, classes, models and pools, and the retry budget. */
package org.orchidmount.limits;
