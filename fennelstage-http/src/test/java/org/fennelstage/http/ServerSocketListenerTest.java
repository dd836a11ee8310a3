package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ServerSocketListenerTest {

    /** Guards against a server that runs on without its listening socket. */
    @ParameterizedTest
    @MethodSource("failures")
    void aServerAcceptsConnectionsAfterAcceptingOneFailed(final Throwable failure)
            throws Exception {
        final AtomicReference<Throwable> next = new AtomicReference<>(failure);
        final CountDownLatch accepted = new CountDownLatch(1);
        final NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            final Channel server =
                    new ServerBootstrap()
                            .group(group)
                            .channelFactory(() -> new FailingOnce(next))
                            .childHandler(new CountingHandler(accepted))
                            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                            .sync()
                            .channel();
            try (Socket caller = new Socket()) {
                caller.connect(server.localAddress(), 2_000);
                assertThat(accepted.await(10, TimeUnit.SECONDS)).isTrue();
                assertThat(next.get()).isNull();
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    static Stream<Throwable> failures() {
        return Stream.of(
                new IOException("Too many open files"),
                new OutOfMemoryError("Java heap space"),
                new IllegalStateException("unexpected"));
    }

    /** A listener that fails to accept the first connection, which stays in its queue. */
    private static final class FailingOnce extends ServerSocketListener {

        private final AtomicReference<Throwable> next;

        FailingOnce(final AtomicReference<Throwable> next) {
            this.next = next;
        }

        @Override
        protected int doReadMessages(final List<Object> accepted) throws Exception {
            final Throwable failure = next.getAndSet(null);
            if (failure instanceof Error error) {
                throw error;
            }
            if (failure instanceof Exception exception) {
                throw exception;
            }
            return super.doReadMessages(accepted);
        }
    }

    @Sharable
    private static final class CountingHandler extends ChannelInboundHandlerAdapter {

        private final CountDownLatch accepted;

        CountingHandler(final CountDownLatch accepted) {
            this.accepted = accepted;
        }

        @Override
        public void channelActive(final ChannelHandlerContext context) {
            accepted.countDown();
        }
    }
}
