import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: a feed, caches of one zone, a parent and an origin, and one director. */
final class Site implements AutoCloseable {
    final Recorder record;
    final Feed feed = new Feed();
    final List<CacheServer> caches = new ArrayList<>();
    final CacheServer parent;
    final CacheServer origin;
    final Director director;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Site(Path recordFile, int cacheCount, CacheServer.Behaviour behaviour) throws IOException {
        record = new Recorder(recordFile);
        record.note("trouble: %s", trouble);
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < cacheCount; i++) {
            CacheServer cache = new CacheServer(String.format("s-%08x", i + 1), behaviour);
            caches.add(cache);
            hosts.add(Feed.host(cache.name, cache.port, "edge-1", "small-box", "Ready"));
        }
        parent = new CacheServer("s-000000f1", behaviour);
        origin = new CacheServer("s-000000f2", behaviour);
        hosts.add(Feed.host(parent.name, parent.port, "north", "parent", "Ready"));
        hosts.add(Feed.host(origin.name, origin.port, "north", "origin", "Ready"));
        feed.add(Feed.members(1, true, hosts.toArray(new String[0])));
        director = new Director(root(), "n0", record);
    }

    @Override
    public void close() throws IOException {
        director.close();
        for (CacheServer cache : caches) {
            cache.close();
        }
        parent.close();
        origin.close();
        feed.close();
        record.close();
    }

    /** The program's folder: `run.sh` starts a case in it. */
    static Path root() {
        return Path.of("").toAbsolutePath();
    }

    /**
     * Plays a case, whose one argument is the file of its record, and ends the process. The codes are not those of `run.sh`,
     * as a JVM that could not run ends with 1 by itself: 10 held, 11 broken, 12 could not run.
     */
    static void run(String[] args, Case body) {
        int verdict = 2;
        try {
            verdict = body.play(Path.of(args[0]));
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.out.println(verdict == 0 ? "held" : verdict == 1 ? "broken" : "could not run");
        System.exit(10 + verdict);
    }

    interface Case {
        int play(Path recordFile) throws Exception;
    }
}
