/** Files that last: checksummed, synced logs. */
package org.orchidmount.internal.file;
