/** The operators' table: typed rows, atomic changes and their audit trail. */
package org.orchidmount.table;
