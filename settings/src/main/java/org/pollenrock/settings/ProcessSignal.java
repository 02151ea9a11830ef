package org.pollenrock.settings;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handler of a signal to the process. For SIGTERM a shutdown hook is no substitute: it cannot see a
 * second signal, and the exit status would not be 0.
 *
 * <p>The JDK offers signals only in {@code sun.misc}, which javac warns of, so the class is looked
 * up by name.
 */
public final class ProcessSignal {
  private ProcessSignal() {}

  /**
   * Runs an action at every signal of a kind, on a thread of its own.
   *
   * @param name name of the signal without its prefix, such as TERM
   * @param action the action
   * @throws ReflectiveOperationException if the JDK has no such class any more
   */
  public static void handle(String name, Runnable action) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    InvocationHandler invocation =
        (proxy, method, arguments) -> {
          if (method.getName().equals("handle")) {
            action.run();
          }
          return null;
        };
    Object proxy =
        Proxy.newProxyInstance(
            ProcessSignal.class.getClassLoader(), new Class<?>[] {handler}, invocation);
    signal
        .getMethod("handle", signal, handler)
        .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
  }
}
