import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Locale;

/**
 * The answer to a request as the caller sees it.
 *
 * @param status the status, 0 if no head arrived
 * @param sealed whether it has the worker's signature
 * @param body the body as far as it arrived
 * @param complete whether its framing says that it is whole
 */
record Answer(int status, boolean sealed, byte[] body, boolean complete) {

    static final Answer NONE = new Answer(0, false, new byte[0], false);

    /** Reads one answer; {@code bytesPerSecond} is 0 to read as fast as possible. */
    static Answer read(final Socket socket, final int bytesPerSecond)
            throws IOException, InterruptedException {
        final InputStream in = new BufferedInputStream(socket.getInputStream(), 4_096);
        try {
            final String statusLine = line(in);
            if (statusLine.length() < 12) {
                return NONE;
            }
            final int status = Integer.parseInt(statusLine.substring(9, 12));
            long length = -1;
            boolean chunked = false;
            boolean sealed = false;
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                final String header = line.toLowerCase(Locale.ROOT);
                sealed |= header.startsWith(Wire.name("seal").toLowerCase(Locale.ROOT) + ":");
                chunked |= header.startsWith("transfer-encoding:") && header.contains("chunked");
                if (header.startsWith("content-length:")) {
                    length = Long.parseLong(header.substring(15).strip());
                }
            }
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            final boolean complete =
                    chunked ? chunks(in, body) : copy(in, body, length, bytesPerSecond);
            return new Answer(status, sealed, body.toByteArray(), complete);
        } catch (final IOException e) {
            return NONE;
        }
    }

    private static boolean chunks(final InputStream in, final ByteArrayOutputStream body)
            throws IOException, InterruptedException {
        while (true) {
            final String size = line(in);
            if (size.isEmpty()) {
                return false;
            }
            final int length = Integer.parseInt(size, 16);
            if (!copy(in, body, length, 0)) {
                return false;
            }
            line(in);
            if (length == 0) {
                return true;
            }
        }
    }

    private static boolean copy(
            final InputStream in,
            final ByteArrayOutputStream body,
            final long length,
            final int bytesPerSecond)
            throws InterruptedException {
        final long start = System.nanoTime();
        final byte[] buffer = new byte[4_096];
        long done = 0;
        try {
            while (length < 0 || done < length) {
                final long wanted = length < 0 ? buffer.length : Math.min(buffer.length, length - done);
                final int read = in.read(buffer, 0, (int) wanted);
                if (read < 0) {
                    return length < 0;
                }
                body.write(buffer, 0, read);
                done += read;
                pace(start, done, bytesPerSecond);
            }
            return true;
        } catch (final IOException e) {
            return false;
        }
    }

    private static void pace(final long start, final long done, final int bytesPerSecond)
            throws InterruptedException {
        if (bytesPerSecond > 0) {
            final long due = start + done * 1_000_000_000L / bytesPerSecond;
            final long millis = (due - System.nanoTime()) / 1_000_000;
            if (millis > 0) {
                Thread.sleep(millis);
            }
        }
    }

    private static String line(final InputStream in) throws IOException {
        final StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    @Override
    public String toString() {
        return "status " + status + (sealed ? ", signed" : "") + ", body " + body.length
                + (complete ? ", complete" : ", not complete");
    }
}
