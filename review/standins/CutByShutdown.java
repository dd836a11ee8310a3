import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case: a VM is stopped by SIGTERM while a caller reads a long answer at the pace of its link. */
final class CutByShutdown {

    private static final int DEADLINE_MILLIS = 15_000;

    /** 10 Mbit/s. */
    private static final int BYTES_PER_SECOND = 1_250_000;

    private static final int VMS = 3;

    private CutByShutdown() {}

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
            deployment.startWorker();
            final List<Deployment.Vm> vms = new ArrayList<>();
            for (int i = 0; i < VMS; i++) {
                vms.add(deployment.startVm());
            }
            for (int i = 1; i <= VMS; i++) {
                final String id = "report-" + i;
                final Answer answer = request(deployment, vms.get(i - 1), id, trouble);
                deployment.note("answered " + id + ": " + answer);
                if (answer.status() == 200 && answer.complete()) {
                    served++;
                } else {
                    broken++;
                    deployment.note("BROKEN: the connection of " + id + " ended after "
                            + answer.body().length + " of " + Worker.BIG_BYTES + " bytes");
                }
            }
            deployment.note("served " + served + ", broken " + broken + ", of " + VMS);
        }
        return broken > 0 ? 1 : 0;
    }

    private static Answer request(
            final Deployment deployment, final Deployment.Vm vm, final String id, final boolean trouble)
            throws Exception {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(8_192);
            socket.setSoTimeout(DEADLINE_MILLIS);
            socket.connect(vm.callers());
            final String head =
                    Deployment.head("POST", "/big/1", id, DEADLINE_MILLIS)
                            + "Content-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            deployment.note("sent " + id);
            Thread.sleep(300);
            final long sent = System.nanoTime();
            if (trouble) {
                vm.process().signal("TERM");
                deployment.note("SIGTERM to " + vm.process().name());
            }
            final Answer answer = Answer.read(socket, BYTES_PER_SECOND);
            deployment.note("read for " + (System.nanoTime() - sent) / 1_000_000 + " ms; the VM "
                    + (vm.process().isAlive() ? "still runs" : "has exited"));
            return answer;
        }
    }
}
