package pewtercourse;

import java.io.IOException;

/** Command line: {@code benchlink} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar pewtercourse.jar benchlink");
            System.exit(2);
        }
        try {
            new BenchLink(System.in, System.out).run();
        } catch (BenchLink.MalformedException e) {
            System.err.println("pewtercourse: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("pewtercourse: cannot read or write the wire: " + e.getMessage());
            System.exit(1);
        }
    }
}
