/** Reading and checking of settings files. */
package org.pollenrock.settings;
