/** Collections with bounds that the standard library lacks. */
package org.pollenrock.core.collection;
