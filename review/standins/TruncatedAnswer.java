import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Case: a worker answers a long request before the request is in, without a length, and crashes in
 * the middle of its answer.
 */
final class TruncatedAnswer {

    /** The limit of the configuration is 4,194,304. */
    private static final int REQUEST_BYTES = 4_000_000;

    /**
     * Length of a request that the sockets hold whole, so that the VM has nothing left to write when
     * the connection is reset; for comparison.
     */
    private static final int SHORT_REQUEST_BYTES = 200_000;

    private static final int DEADLINE_MILLIS = 10_000;
    private static final int LONG_REQUESTS = 3;
    private static final int WORKERS = 4;

    /** Three heartbeat intervals, after which the entry of a silent worker is removed. */
    private static final long EXPIRY_MILLIS = 3_600;

    private static final long SETTLE_MILLIS = 1_000;
    private static final int REQUESTS = 1 + LONG_REQUESTS;

    private TruncatedAnswer() {}

    public static void main(final String[] args) {
        try {
            System.exit(play(Path.of(args[0])));
        } catch (final Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    /** Returns the exit status. */
    private static int play(final Path record) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int broken = 0;
        int whole = 0;
        try (Deployment deployment = new Deployment(record)) {
            final List<Started> workers = new ArrayList<>();
            for (int i = 0; i < WORKERS; i++) {
                workers.add(deployment.startWorker());
            }
            final Deployment.Vm vm = deployment.startVm();
            for (int i = 1; i <= REQUESTS; i++) {
                final boolean isShort = i == 1;
                final String id = (isShort ? "short-" : "long-") + i;
                final int length = isShort ? SHORT_REQUEST_BYTES : REQUEST_BYTES;
                final Answer answer = request(deployment, vm, workers, id, length, trouble);
                final boolean isWhole = Arrays.equals(answer.body(), Worker.body(Worker.EARLY_BYTES));
                final boolean success = answer.status() / 100 == 2 && answer.complete();
                deployment.note("answered " + id + ": " + answer);
                whole += success && isWhole ? 1 : 0;
                if (success && !isWhole) {
                    broken++;
                    deployment.note("BROKEN: " + id + " is a complete success with "
                            + answer.body().length + " of " + Worker.EARLY_BYTES + " bytes");
                }
                if (trouble && i < REQUESTS) {
                    replaceCrashed(deployment, workers);
                }
            }
            deployment.note("whole " + whole + ", broken " + broken + ", of " + REQUESTS);
        }
        if (!trouble && whole < REQUESTS) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }

    /** Lets the entry of a crashed worker expire, and starts another worker. */
    private static void replaceCrashed(final Deployment deployment, final List<Started> workers)
            throws Exception {
        Thread.sleep(EXPIRY_MILLIS);
        for (final Started worker : List.copyOf(workers)) {
            if (!worker.isAlive()) {
                deployment.store().remove("servers", worker.name());
                workers.remove(worker);
                workers.add(deployment.startWorker());
            }
        }
        Thread.sleep(SETTLE_MILLIS);
    }

    /** Returns the worker that has sent half of its answer to a request. */
    private static Started awaitHalf(final List<Started> workers, final String id)
            throws Exception {
        final long end = System.nanoTime() + DEADLINE_MILLIS * 1_000_000L;
        while (System.nanoTime() < end) {
            for (final Started worker : workers) {
                if (worker.lines().contains("half answered " + id)) {
                    return worker;
                }
            }
            Thread.sleep(10);
        }
        throw new IOException("no worker runs " + id);
    }

    private static Answer request(
            final Deployment deployment,
            final Deployment.Vm vm,
            final List<Started> workers,
            final String id,
            final int length,
            final boolean trouble)
            throws Exception {
        try (Socket socket = new Socket(vm.callers().getAddress(), vm.callers().getPort())) {
            socket.setSoTimeout(DEADLINE_MILLIS);
            final String head =
                    Deployment.head("POST", "/early/1", id, DEADLINE_MILLIS)
                            + "Content-Length: " + length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(new byte[length]);
            socket.getOutputStream().flush();
            deployment.note("sent " + id + " with " + length + " bytes");
            final Started worker = awaitHalf(workers, id);
            Thread.sleep(300);
            if (trouble) {
                worker.signal("KILL");
                deployment.note("killed worker " + worker.name());
            }
            return Answer.read(socket, 0);
        }
    }
}
