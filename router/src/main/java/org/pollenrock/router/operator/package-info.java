/** HTTP listener for operators: health, metrics, state and explanations. */
package org.pollenrock.router.operator;
