/** Settings of an instance, read from JSON with comments and checked as a whole. */
package org.orchidmount.settings;
