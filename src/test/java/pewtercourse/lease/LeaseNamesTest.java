package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pewtercourse.lease.wire.LeaseWire;

/**
 * Leases keep the names of the first version between members and on disk, because members of different versions have to
 * understand each other.
 */
class LeaseNamesTest {
    @ParameterizedTest
    @CsvSource({"maintenance, warden", "quota, divider", "sites, sites"})
    void encodesLeaseNamesAsTheFirstVersionDid(String lease, String wireName) throws Exception {
        Command.Envelope command = new Command.Envelope("d1", 7, new Command.AssignLease(lease, "d2", 3, 0));
        byte[] encoded = CommandCodec.encode(command);
        assertEquals(
                wireName, LeaseWire.Command.parseFrom(encoded).getAssignLease().getLease());
        assertEquals(command, CommandCodec.decode(encoded));
    }

    @Test
    void decodesASnapshotOfTheFirstVersionAndEncodesItUnchanged() throws Exception {
        byte[] firstVersionSnapshot = LeaseWire.Snapshot.newBuilder()
                .setLastToken(5)
                .addLease(LeaseWire.Lease.newBuilder()
                        .setName("warden")
                        .setHolder("d1")
                        .setToken(5))
                .build()
                .toByteArray();
        ClusterState state = ClusterState.decode(firstVersionSnapshot);
        assertEquals("d1", state.lease(LeaseNames.MAINTENANCE).holder());
        assertEquals(
                LeaseWire.Snapshot.parseFrom(firstVersionSnapshot).getLeaseList(),
                LeaseWire.Snapshot.parseFrom(state.encode()).getLeaseList());
    }
}
