/** Implementations behind the table interfaces. */
package org.orchidmount.internal.table;
