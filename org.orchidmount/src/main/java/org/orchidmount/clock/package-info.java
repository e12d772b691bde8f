/** Time sources that are passed in, so that tests can set the time. */
package org.orchidmount.clock;
