/** Identifiers and value types used throughout the router. */
package org.pollenrock.core.model;
