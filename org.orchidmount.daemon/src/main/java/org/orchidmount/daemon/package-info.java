/** The daemon that runs on every entry instance. */
package org.orchidmount.daemon;
