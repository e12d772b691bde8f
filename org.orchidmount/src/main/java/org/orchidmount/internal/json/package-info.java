/** JSON helpers over Jackson. */
package org.orchidmount.internal.json;
