package cedarrelay.node;

import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.FastThreadLocalThread;

/** Creates the event loop of a node. */
final class EventLoops {
    private EventLoops() { }

    /**
     * Creates a group of one event loop that goes on after errors.
     *
     * @param onError is told, on the event loop, of each error after which the loop goes on
     * @param onEnd runs last on the event loop's thread, however it ends
     */
    static EventLoopGroup newGroup(IoHandlerFactory handlers, Consumer<Throwable> onError, Runnable onEnd) {
        ThreadFactory threads = loop -> newThread(loop, onEnd);
        return new MultiThreadIoEventLoopGroup(1, threads,
                ErrorTolerantIoHandler.newFactory(handlers, onError));
    }

    private static Thread newThread(Runnable loop, Runnable onEnd) {
        return new FastThreadLocalThread(() -> {
            try {
                loop.run();
            } finally {
                onEnd.run();
            }
        }, "event-loop");
    }
}
