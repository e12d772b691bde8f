/** The demo, and the load and experiment tool. */
package org.orchidmount.bench;
