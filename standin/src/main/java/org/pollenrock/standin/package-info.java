/** Stand-ins of outside systems with fault switches. */
package org.pollenrock.standin;
