package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests for how long sends are held back while discovery resets every call. A call that its stand-in answers
 * late isn't reported to the gate, so the list is never confirmed.
 */
@Timeout(120)
class MembershipGateTest implements Discovery.Listener {
    private static final int GRACE_US = 500_000;
    /** The delay between the failure of a call and the next call. */
    private static final int RETRY_DELAY_MS = 50;
    /** The time in which discovery can confirm the list before sends no longer wait for it. */
    private static final int HOLD_MS = 1_000;
    /** The pause of a hold. It ends before a timer of the hold's length is due. */
    private static final int PAUSE_MS = 850;
    /** The part of a pause that a node may count for the hold, as it measures pauses by its timers. */
    private static final int PAUSE_TOLERANCE_MS = 100;
    private static final int ATTEMPT_INTERVAL_MS = 10;

    /** When the first send was allowed after the beginning of the hold, by {@link System#nanoTime}. */
    private final CompletableFuture<Long> allowedNs = new CompletableFuture<>();
    private EventLoopGroup group;
    private EventLoop loop;
    private FakePeer peer;
    private EventLoopLag lag;
    private Discovery discovery;
    private MembershipGate gate;
    private boolean holdBegan;

    @Override
    public void onList(ServerList list) {
        gate.confirmCurrent();
    }

    @Override
    public void onWatchFailed(String reason) {
        loop.schedule(discovery::keepSubscribed, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        peer = new FakePeer(FakePeer.RESET);
        lag = new EventLoopLag(loop);
        loop.submit(() -> {
            lag.start();
            discovery = new Discovery(loop, new InetSocketAddress("127.0.0.1", peer.port()), 41,
                    DiscoveryTimeouts.PUSHED, this);
            gate = new MembershipGate(loop, new Metrics(), true, GRACE_US, lag::lagUs, this::attemptSend);
            gate.setSource(discovery);
            discovery.subscribe();
        }).get();
    }

    @AfterEach
    void close() throws Exception {
        loop.submit(() -> {
            lag.close();
            discovery.close();
        }).get();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        peer.close();
    }

    private void attemptSend() {
        if (holdBegan && gate.mayWrite()) {
            allowedNs.complete(System.nanoTime());
        }
    }

    /**
     * Attempts sends until the first one is held back, then runs the task in the same iteration of the event
     * loop, and continues to attempt sends.
     *
     * @return a {@link System#nanoTime} right before the hold
     */
    private long awaitHold(Runnable whenHeld) throws Exception {
        CompletableFuture<Long> holdNs = new CompletableFuture<>();
        loop.submit(() -> attemptUntilHeld(holdNs, whenHeld)).get();
        return holdNs.get(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void attemptUntilHeld(CompletableFuture<Long> holdNs, Runnable whenHeld) {
        long attemptNs = System.nanoTime();
        if (gate.mayWrite()) {
            loop.schedule(() -> attemptUntilHeld(holdNs, whenHeld), ATTEMPT_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        holdBegan = true;
        whenHeld.run();
        loop.scheduleWithFixedDelay(this::attemptSend, ATTEMPT_INTERVAL_MS, ATTEMPT_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        holdNs.complete(attemptNs);
    }

    private long awaitAllowed() throws Exception {
        return allowedNs.get(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void sendsAreAllowedAfterTheHoldAndNotBefore() throws Exception {
        long holdNs = awaitHold(() -> { });
        long heldMs = TimeUnit.NANOSECONDS.toMillis(awaitAllowed() - holdNs);
        assertTrue(heldMs >= HOLD_MS, "sends were allowed after " + heldMs + " ms");
    }

    /**
     * A pause of the event loop doesn't count for the hold, also if it ends before the hold's timer is due:
     * neither can discovery be called meanwhile, nor its response be read. So sends are allowed only after
     * the loop has run for the length of the hold. Whether the hold starts again after the pause, or just
     * goes on, isn't tested.
     */
    @Test
    void aPauseThatEndsBeforeTheHoldDoesNotCountForIt() throws Exception {
        CompletableFuture<Long> pauseEndNs = new CompletableFuture<>();
        awaitHold(() -> {
            LoopPause.block(PAUSE_MS);
            pauseEndNs.complete(System.nanoTime());
        });
        long ranMs = TimeUnit.NANOSECONDS.toMillis(awaitAllowed() - pauseEndNs.get());
        assertTrue(ranMs >= HOLD_MS - PAUSE_TOLERANCE_MS,
                "sends were allowed when the event loop had run for " + ranMs + " ms of the hold");
    }
}
