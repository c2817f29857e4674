package pewtercourse.config;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import pewtercourse.failover.Sites;
import pewtercourse.lease.LeaseNames;
import pewtercourse.lease.LeaseSettings;
import pewtercourse.raft.RaftSettings;

/**
 * The settings of one member of a cluster of directors, read from the file that GW_CLUSTER names.
 *
 * @param cluster the cluster's name, the same at all members
 * @param name    this member's name
 * @param listen  the address on which this member accepts connections of other members
 * @param data    this member's own data folder, which must persist across restarts
 * @param members addresses of the three, five or seven members by name, as this member reaches them
 * @param raft    timing of elections and replication
 * @param duties  settings of the leases
 * @param sites   the sites from the file that GW_SITES names; null without such a file
 */
public record ClusterConfig(
        String cluster,
        String name,
        InetSocketAddress listen,
        Path data,
        Map<String, String> members,
        RaftSettings raft,
        LeaseSettings duties,
        Sites sites) {
    /**
     * Reads the files that the environment names.
     *
     * @return the settings, or null if GW_CLUSTER is not set
     * @throws ConfigException if a variable or key is invalid; the message names the first one
     */
    public static ClusterConfig fromEnvironment(Map<String, String> environment) {
        String clusterFile = environment.getOrDefault("GW_CLUSTER", "");
        String sitesFile = environment.getOrDefault("GW_SITES", "");
        if (clusterFile.isEmpty() && !sitesFile.isEmpty()) {
            throw new ConfigException("GW_SITES", "needs GW_CLUSTER: only directors that agree can keep sites");
        }
        if (clusterFile.isEmpty()) {
            return null;
        }
        ClusterConfig config = fromFile(Path.of(clusterFile));
        return sitesFile.isEmpty() ? config : config.withSites(SitesConfig.fromFile(Path.of(sitesFile)));
    }

    /**
     * Reads a member's file.
     *
     * @throws ConfigException if a key is invalid (the message names the first one), or if the file can't be read (the
     *     message names GW_CLUSTER)
     */
    public static ClusterConfig fromFile(Path path) {
        try {
            return read(new JsonObject(Files.readString(path)));
        } catch (IOException e) {
            throw new ConfigException("GW_CLUSTER", "can't read '" + path + "': " + e.getMessage());
        } catch (DecodeException e) {
            throw new ConfigException("GW_CLUSTER", "'" + path + "' is not JSON: " + e.getMessage());
        }
    }

    static ClusterConfig read(JsonObject json) {
        return new ClusterConfigReader(new JsonSection("", json)).read();
    }

    // Adds the lease whose holder controls the failover of sites.
    private ClusterConfig withSites(Sites newSites) {
        Set<String> names = new TreeSet<>(duties.leaseNames());
        names.add(LeaseNames.SITES);
        LeaseSettings withSitesLease = new LeaseSettings(
                duties.durationMicros(),
                duties.clockDrift(),
                duties.retryMicros(),
                names,
                duties.maintenanceBudget(),
                duties.quotaPolicy());
        return new ClusterConfig(cluster, name, listen, data, members, raft, withSitesLease, newSites);
    }

    /** Returns a member's address from the file; null if the file doesn't name the member. */
    public String address(String member) {
        return members.get(member);
    }
}
