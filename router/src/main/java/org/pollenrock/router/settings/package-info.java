/** Settings in the form in which requests use them. */
package org.pollenrock.router.settings;
