/** The inner works of the stand-ins. */
package org.orchidmount.junit.internal;
