package cedarrelay.node;

import java.util.function.Consumer;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/**
 * An I/O handler that goes on after an error. Netty ends the event loop's thread if an {@code Error}, such as
 * an OutOfMemoryError, is thrown while it waits for or handles I/O outside a channel's handlers; all requests
 * would be lost with it. Events that were not handled are reported again by the next selection.
 */
final class ErrorTolerantIoHandler extends DelegatingIoHandler {
    /** Failed runs in a row after which the event loop may end, as it seems unable to make any progress. */
    static final int MAX_CONSECUTIVE_ERRORS = 16;

    private final Consumer<Throwable> onError;
    private int consecutiveErrors;

    private ErrorTolerantIoHandler(IoHandler delegate, Consumer<Throwable> onError) {
        super(delegate);
        this.onError = onError;
    }

    /** Returns a factory that wraps the handlers of another one; {@code onError} is told of each error. */
    static IoHandlerFactory newFactory(IoHandlerFactory delegateFactory, Consumer<Throwable> onError) {
        return executor -> new ErrorTolerantIoHandler(delegateFactory.newHandler(executor), onError);
    }

    @Override
    public int run(IoHandlerContext context) {
        try {
            int handledEvents = delegate.run(context);
            consecutiveErrors = 0;
            return handledEvents;
        } catch (RuntimeException | Error e) {
            if (++consecutiveErrors >= MAX_CONSECUTIVE_ERRORS) {
                throw e;
            }
            report(e);
            return 0;
        }
    }

    private void report(Throwable error) {
        try {
            onError.accept(error);
        } catch (RuntimeException | Error e) {
            // Reporting takes memory too, which may be what has run out.
            return;
        }
    }
}
