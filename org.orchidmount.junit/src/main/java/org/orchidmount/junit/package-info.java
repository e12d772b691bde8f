/** Stand-ins for what the product meets: engines, plain services, networks; and a test cluster. */
package org.orchidmount.junit;
