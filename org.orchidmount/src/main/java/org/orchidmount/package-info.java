/** A router for language-model serving with separate prefill and decode pools. */
package org.orchidmount;
