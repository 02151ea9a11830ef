package org.pollenrock.core.dispatch;

/**
 * Work of one service and urgency that waits at an instance, as the instance announces it.
 *
 * @param service name of the service
 * @param urgency urgency from 0, which is dispatched first, to 9
 * @param work waiting work, as {@link DispatchRequest#work} counts it; 0 if none waits any more
 * @param workPerSecond work of this urgency that is finished for the instance in a second; 0 if
 *     unknown
 */
public record WaitingWork(String service, int urgency, long work, double workPerSecond) {}
