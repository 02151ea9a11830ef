package org.pollenrock.router;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handler of SIGTERM. A shutdown hook is no substitute: it cannot see a second signal, and the exit
 * status would not be 0.
 *
 * <p>The JDK offers signals only in {@code sun.misc}, which javac warns of, so the class is looked
 * up by name.
 */
final class TermSignal {
  private TermSignal() {}

  /** Runs the action, on a thread of its own, at every SIGTERM. */
  static void handle(Runnable action) throws ReflectiveOperationException {
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
            TermSignal.class.getClassLoader(), new Class<?>[] {handler}, invocation);
    signal
        .getMethod("handle", signal, handler)
        .invoke(null, signal.getConstructor(String.class).newInstance("TERM"), proxy);
  }
}
