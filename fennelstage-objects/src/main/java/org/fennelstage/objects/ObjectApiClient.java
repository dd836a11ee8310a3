package org.fennelstage.objects;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.Responses;

/**
 * The object API over HTTP.
 *
 * <p>Invariant: a write is reported as not written only if it never left this process, or the API
 * said so; everything else is unknown. Thread-safe.
 */
public final class ObjectApiClient implements ObjectStore {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 412;
    private static final int OVERLOADED = 429;
    private static final String OUT_OF_BUDGET = "this VM's calls to the object API are used up";

    private final HttpClient http;
    private final InetSocketAddress address;
    private final CallBudget budget;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param http makes the calls
     * @param address where the API listens
     * @param budget bounds the calls
     * @param timeout the longest wait for an answer
     */
    public ObjectApiClient(
            final HttpClient http,
            final InetSocketAddress address,
            final CallBudget budget,
            final Duration timeout) {
        this.http = Objects.requireNonNull(http, "http is null");
        this.address = Objects.requireNonNull(address, "address is null");
        this.budget = Objects.requireNonNull(budget, "budget is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<ReadResult> read(final ObjectKey key, final CallPriority priority) {
        final CompletableFuture<ReadResult> result = new CompletableFuture<>();
        if (!budget.tryTake(priority)) {
            result.complete(new ReadResult.Unavailable(OUT_OF_BUDGET));
            return result;
        }
        call(
                request(HttpMethod.GET, key, new byte[0]),
                timeout,
                whole -> result.complete(toRead(key, whole)),
                failure -> result.complete(new ReadResult.Unavailable(failure.detail())));
        return result;
    }

    @Override
    public CompletableFuture<WriteResult> write(
            final ObjectKey key,
            final Revision expected,
            final byte[] value,
            final CallPriority priority) {
        return change(HttpMethod.PUT, key, expected, value, priority);
    }

    @Override
    public CompletableFuture<WriteResult> delete(
            final ObjectKey key, final Revision expected, final CallPriority priority) {
        return change(HttpMethod.DELETE, key, expected, new byte[0], priority);
    }

    @Override
    public CompletableFuture<ChangesResult> changes(
            final String prefix,
            final Revision since,
            final Duration wait,
            final CallPriority priority) {
        final CompletableFuture<ChangesResult> result = new CompletableFuture<>();
        if (!budget.tryTake(priority)) {
            result.complete(new ChangesResult.Unavailable(OUT_OF_BUDGET));
            return result;
        }
        final QueryStringEncoder query = new QueryStringEncoder(ObjectApiProtocol.CHANGES);
        query.addParam("prefix", prefix);
        query.addParam("since", since.toString());
        query.addParam("wait", Long.toString(wait.toMillis()));
        call(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, query.toString()),
                wait.plus(timeout),
                whole -> result.complete(toChanges(whole)),
                failure -> result.complete(new ChangesResult.Unavailable(failure.detail())));
        return result;
    }

    private CompletableFuture<WriteResult> change(
            final HttpMethod method,
            final ObjectKey key,
            final Revision expected,
            final byte[] value,
            final CallPriority priority) {
        final CompletableFuture<WriteResult> result = new CompletableFuture<>();
        if (!budget.tryTake(priority)) {
            result.complete(new WriteResult.NotWritten(OUT_OF_BUDGET));
            return result;
        }
        final FullHttpRequest request = request(method, key, value);
        request.headers().set(ObjectApiProtocol.EXPECTED, expected.toString());
        call(
                request,
                timeout,
                whole -> result.complete(toWrite(key, whole)),
                failure -> result.complete(toWrite(failure)));
        return result;
    }

    private void call(
            final FullHttpRequest request,
            final Duration silence,
            final Consumer<Responses.Whole> onWhole,
            final Consumer<CallFailure> onFailure) {
        http.eventLoop()
                .execute(
                        () ->
                                http.send(
                                        address,
                                        request,
                                        CallOptions.of(CONNECT_TIMEOUT, silence, false),
                                        Responses.collecting(onWhole, onFailure)));
    }

    private static FullHttpRequest request(
            final HttpMethod method, final ObjectKey key, final byte[] value) {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                ObjectApiProtocol.OBJECTS + key.path(),
                Unpooled.wrappedBuffer(value));
    }

    private static ReadResult toRead(final ObjectKey key, final Responses.Whole whole) {
        return switch (whole.status()) {
            case OK -> new ReadResult.Found(toObject(key, whole));
            case NOT_FOUND -> new ReadResult.Found(StoredObject.tombstone(key, revision(whole)));
            default -> new ReadResult.Unavailable("object API answered " + whole.status());
        };
    }

    private static WriteResult toWrite(final ObjectKey key, final Responses.Whole whole) {
        return switch (whole.status()) {
            case OK -> new WriteResult.Written(revision(whole));
            case CONFLICT -> new WriteResult.Conflict(toObject(key, whole));
            case OVERLOADED -> new WriteResult.NotWritten("object API is overloaded");
            default -> new WriteResult.Unknown("object API answered " + whole.status());
        };
    }

    private static WriteResult toWrite(final CallFailure failure) {
        return failure.phase() == CallFailure.Phase.NOT_SENT
                ? new WriteResult.NotWritten(failure.detail())
                : new WriteResult.Unknown(failure.detail());
    }

    private static ChangesResult toChanges(final Responses.Whole whole) {
        if (whole.status() != OK) {
            return new ChangesResult.Unavailable("object API answered " + whole.status());
        }
        try {
            final ObjectApiProtocol.WireChanges changes =
                    Json.read(whole.body(), ObjectApiProtocol.WireChanges.class);
            final List<StoredObject> objects =
                    changes.objects().stream().map(ObjectApiClient::toObject).toList();
            return new ChangesResult.Changed(objects, Revision.of(changes.revision()));
        } catch (final MalformedValueException e) {
            return new ChangesResult.Unavailable(e.getMessage());
        }
    }

    private static StoredObject toObject(final ObjectApiProtocol.WireObject wire) {
        return new StoredObject(
                new ObjectKey(wire.key()),
                Revision.of(wire.revision()),
                Optional.ofNullable(wire.value()));
    }

    private static StoredObject toObject(final ObjectKey key, final Responses.Whole whole) {
        final Revision revision = revision(whole);
        final boolean deleted = whole.headers().contains("x-deleted");
        return deleted
                ? StoredObject.tombstone(key, revision)
                : StoredObject.of(key, revision, whole.body());
    }

    private static Revision revision(final Responses.Whole whole) {
        final String text = whole.headers().get(ObjectApiProtocol.REVISION, "0");
        return Revision.of(Long.parseLong(text));
    }
}
