/** Identifiers and small values that every decision shares. */
package org.pollenrock.core.model;
