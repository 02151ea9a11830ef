/** Clients of outside systems. */
package org.pollenrock.adapters;
