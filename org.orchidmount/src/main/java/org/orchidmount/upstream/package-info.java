/** How upstreams are spoken to: model engines and plain services. */
package org.orchidmount.upstream;
