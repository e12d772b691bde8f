/** The engine and plain service protocols over HTTP. */
package org.orchidmount.internal.upstream;
