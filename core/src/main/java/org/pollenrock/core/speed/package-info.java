/** How fast backend servers work and how many requests at once they take well, by measurement. */
package org.pollenrock.core.speed;
