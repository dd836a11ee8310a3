package org.fennelstage.objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
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
 * A client of the object API over HTTP.
 *
 * <p>Invariant: a write is reported as not written only if it was not sent, or the API rejected it;
 * any other failure is reported as unknown. Thread-safe.
 */
public final class ObjectApiClient implements ObjectStore {

    private static final System.Logger LOG = System.getLogger(ObjectApiClient.class.getName());
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 412;
    private static final int OVERLOADED = 429;
    private static final String BUDGET_EXHAUSTED =
            "the call budget of this VM for the object API is exhausted";

    private final HttpClient http;
    private final InetSocketAddress address;
    private final CallBudget budget;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param http makes the calls
     * @param address the address of the API
     * @param budget limits the calls
     * @param timeout the longest wait for a response
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
            result.complete(new ReadResult.Unavailable(BUDGET_EXHAUSTED));
            return result;
        }
        call(
                request(HttpMethod.GET, key, new byte[0]),
                timeout,
                response -> result.complete(toRead(key, response)),
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
            result.complete(new ChangesResult.Unavailable(BUDGET_EXHAUSTED));
            return result;
        }
        final QueryStringEncoder query = new QueryStringEncoder(ObjectApiProtocol.CHANGES);
        query.addParam("prefix", prefix);
        query.addParam("since", since.toString());
        query.addParam("wait", Long.toString(wait.toMillis()));
        call(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, query.toString()),
                wait.plus(timeout),
                response -> result.complete(toChanges(response)),
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
            result.complete(new WriteResult.NotWritten(BUDGET_EXHAUSTED));
            return result;
        }
        final FullHttpRequest request = request(method, key, value);
        request.headers().set(ObjectApiProtocol.EXPECTED, expected.toString());
        call(
                request,
                timeout,
                response -> result.complete(toWrite(key, response)),
                failure -> result.complete(toWrite(failure)));
        return result;
    }

    private void call(
            final FullHttpRequest request,
            final Duration inactivityTimeout,
            final Consumer<Responses.FullResponse> onResponse,
            final Consumer<CallFailure> onFailure) {
        http.eventLoop()
                .execute(
                        () ->
                                http.collect(
                                        address,
                                        request,
                                        CallOptions.of(CONNECT_TIMEOUT, inactivityTimeout, false),
                                        response -> read(response, onResponse, onFailure),
                                        onFailure));
    }

    /** Reads a response; one that cannot be read is a failure, since callers wait for a result. */
    private static void read(
            final Responses.FullResponse response,
            final Consumer<Responses.FullResponse> onResponse,
            final Consumer<CallFailure> onFailure) {
        try {
            onResponse.accept(response);
        } catch (final RuntimeException | StackOverflowError e) {
            onFailure.accept(
                    new CallFailure(
                            CallFailure.Phase.RESPONDING, false, "unreadable response: " + e));
        }
    }

    private static FullHttpRequest request(
            final HttpMethod method, final ObjectKey key, final byte[] value) {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                ObjectApiProtocol.OBJECTS + key.path(),
                Unpooled.wrappedBuffer(value));
    }

    private static ReadResult toRead(final ObjectKey key, final Responses.FullResponse response) {
        return switch (response.status()) {
            case OK -> new ReadResult.Found(toObject(key, response));
            case NOT_FOUND -> new ReadResult.Found(StoredObject.tombstone(key, revision(response)));
            default ->
                    new ReadResult.Unavailable("object API returned status " + response.status());
        };
    }

    private static WriteResult toWrite(final ObjectKey key, final Responses.FullResponse response) {
        return switch (response.status()) {
            case OK -> new WriteResult.Written(revision(response));
            case CONFLICT -> new WriteResult.Conflict(toObject(key, response));
            case OVERLOADED -> new WriteResult.NotWritten("object API is overloaded");
            default -> new WriteResult.Unknown("object API returned status " + response.status());
        };
    }

    private static WriteResult toWrite(final CallFailure failure) {
        return failure.phase() == CallFailure.Phase.NOT_SENT
                ? new WriteResult.NotWritten(failure.detail())
                : new WriteResult.Unknown(failure.detail());
    }

    private static ChangesResult toChanges(final Responses.FullResponse response) {
        if (response.status() != OK) {
            return new ChangesResult.Unavailable("object API returned status " + response.status());
        }
        try {
            final JsonNode changes = Json.read(response.body(), JsonNode.class);
            final JsonNode revision = changes.path("revision");
            if (!revision.canConvertToLong() || !changes.path("objects").isArray()) {
                return new ChangesResult.Unavailable("no list of changes");
            }
            final List<StoredObject> objects = new ArrayList<>();
            changes.path("objects").forEach(node -> toObject(node).ifPresent(objects::add));
            return new ChangesResult.Changed(objects, Revision.of(revision.asLong()));
        } catch (final MalformedValueException e) {
            return new ChangesResult.Unavailable(e.getMessage());
        }
    }

    /** Returns an object of a list, empty if it is malformed: it must not hide the others. */
    private static Optional<StoredObject> toObject(final JsonNode node) {
        try {
            return Optional.of(
                    toObject(Json.mapper().treeToValue(node, ObjectApiProtocol.WireObject.class)));
        } catch (final JsonProcessingException | RuntimeException e) {
            LOG.log(System.Logger.Level.WARNING, "malformed object " + node.path("key"), e);
            return Optional.empty();
        }
    }

    private static StoredObject toObject(final ObjectApiProtocol.WireObject wire) {
        return new StoredObject(
                new ObjectKey(wire.key()),
                Revision.of(wire.revision()),
                Optional.ofNullable(wire.value()));
    }

    private static StoredObject toObject(
            final ObjectKey key, final Responses.FullResponse response) {
        final Revision revision = revision(response);
        final boolean deleted = response.headers().contains("x-deleted");
        return deleted
                ? StoredObject.tombstone(key, revision)
                : StoredObject.of(key, revision, response.body());
    }

    private static Revision revision(final Responses.FullResponse response) {
        final String text = response.headers().get(ObjectApiProtocol.REVISION, "0");
        return Revision.of(Long.parseLong(text));
    }
}
