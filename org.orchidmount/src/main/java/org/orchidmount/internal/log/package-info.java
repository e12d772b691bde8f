/** Logs with a fixed prefix for each part. */
package org.orchidmount.internal.log;
