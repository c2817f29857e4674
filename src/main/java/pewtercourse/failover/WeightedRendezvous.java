package pewtercourse.failover;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import pewtercourse.hash.StableHash;

/**
 * Chooses sites by weighted rendezvous hashing (Thaler and Ravishankar, 1998; weights by the logarithmic method). All
 * members choose the same site for a key, each site gets keys in proportion to its weight, and a changed weight moves
 * as few keys as possible.
 */
final class WeightedRendezvous {
    private WeightedRendezvous() {}

    /**
     * Chooses a site for a key.
     *
     * @param weights weight of each site by name; over 0
     * @return empty if there are no sites
     */
    static Optional<String> choose(long key, SortedMap<String, Double> weights) {
        String best = null;
        double bestScore = 0;
        for (Map.Entry<String, Double> entry : weights.entrySet()) {
            String site = entry.getKey();
            double score = -entry.getValue() / Math.log(StableHash.toUnitInterval(key ^ StableHash.of(site)));
            if (best == null || score > bestScore) {
                best = site;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
