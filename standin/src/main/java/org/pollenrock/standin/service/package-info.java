/** Stand-in of a plain service that records what it ran. */
package org.pollenrock.standin.service;
