/** The fronts for callers and operators, and the path of a request. */
package org.orchidmount.daemon.internal;
