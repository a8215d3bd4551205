package cedarrelay.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, the signal to reload the configuration. Java has no public API for signals, and a direct
 * use of {@code sun.misc.Signal} causes a compiler warning that cannot be suppressed; so it is used by
 * reflection.
 */
final class Hangup {
    private Hangup() { }

    /**
     * Runs the action on each SIGHUP, on a thread of its own. From this call on, the signal no longer ends
     * the process.
     *
     * @throws IllegalStateException if the runtime has no {@code sun.misc.Signal} or does not allow the
     * handler
     */
    static void handle(Runnable action) {
        InvocationHandler invocationHandler = (proxy, method, args) -> switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> proxy == args[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "Hangup";
        };
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            signalType.getMethod("handle", signalType, handlerType).invoke(null,
                    signalType.getConstructor(String.class).newInstance("HUP"),
                    Proxy.newProxyInstance(handlerType.getClassLoader(), new Class<?>[] {handlerType},
                            invocationHandler));
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new IllegalStateException("cannot install the SIGHUP handler", e);
        }
    }
}
