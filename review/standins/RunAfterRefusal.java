import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Case: a VM freezes after it has read the first part of the head of a request that must not run
 * twice; the caller sends the rest in time.
 */
final class RunAfterRefusal {

    private static final int DEADLINE_MILLIS = 10_000;
    private static final int REQUESTS = 5;

    /** When the rest of the head is sent, counted from its first byte; the limit is 3,000 ms. */
    private static final long REST_MILLIS = 1_000;

    private static final long FREEZE_MILLIS = 4_000;
    private static final long CLOSE_MILLIS = 100;

    private RunAfterRefusal() {}

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
        int served = 0;
        try (Deployment deployment = new Deployment(record)) {
            final Started worker = deployment.startWorker();
            final Deployment.Vm vm = deployment.startVm();
            deployment.startVm();
            deployment.startVm();
            deployment.note("answered warm-up: " + request(deployment, vm, "warm-up", false));
            for (int i = 1; i <= REQUESTS; i++) {
                final String id = "order-" + i;
                final Answer answer = request(deployment, vm, id, trouble);
                Thread.sleep(2_000);
                final boolean ran = worker.lines().stream().anyMatch(l -> l.startsWith("runs " + id));
                deployment.note("answered " + id + ": " + answer + (ran ? "; it has run" : "; not run"));
                served += answer.status() == 200 && ran ? 1 : 0;
                if (ran && isPromise(answer.status())) {
                    broken++;
                    deployment.note("BROKEN: " + id + " was answered " + answer.status() + " and ran");
                }
            }
            deployment.note("served " + served + ", broken " + broken + ", of " + REQUESTS);
        }
        if (!trouble && served < REQUESTS) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }

    /** Returns whether a status promises that the request has not run and never will. */
    private static boolean isPromise(final int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    private static Answer request(
            final Deployment deployment, final Deployment.Vm vm, final String id, final boolean trouble)
            throws Exception {
        try (Socket socket = new Socket(vm.callers().getAddress(), vm.callers().getPort())) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(DEADLINE_MILLIS);
            final byte[] head =
                    (Deployment.head("POST", "/orders/1", id, DEADLINE_MILLIS)
                                    + "Content-Length: 5\r\n\r\norder")
                            .getBytes(StandardCharsets.ISO_8859_1);
            final int part = head.length / 2;
            socket.getOutputStream().write(head, 0, part);
            deployment.note("sent the first " + part + " bytes of " + id);
            Thread.sleep(REST_MILLIS / 2);
            if (trouble) {
                vm.process().signal("STOP");
                deployment.note("froze " + vm.process().name());
            }
            Thread.sleep(REST_MILLIS / 2);
            socket.getOutputStream().write(head, part, head.length - part);
            deployment.note("sent the rest of " + id);
            if (trouble) {
                Thread.sleep(FREEZE_MILLIS - REST_MILLIS / 2);
                vm.process().signal("CONT");
                deployment.note("woke " + vm.process().name());
            }
            final Answer answer = Answer.read(socket, 0);
            // The caller closes its connection a moment after it has read the answer.
            Thread.sleep(CLOSE_MILLIS);
            return answer;
        }
    }
}
