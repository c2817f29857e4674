package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pewtercourse.lease.wire.LeaseWire;

/** Leases keep their first names between members and on disk: members of two versions have to understand one another. */
class LeaseNamesTest {
    @ParameterizedTest
    @CsvSource({"maintenance, warden", "quota, divider", "sites, sites"})
    void aCommandNamesALeaseAsTheFirstVersionDid(String lease, String onTheWire) throws Exception {
        Command.Envelope command = new Command.Envelope("d1", 7, new Command.AssignLease(lease, "d2", 3, 0));
        byte[] encoded = CommandCodec.encode(command);
        assertEquals(
                onTheWire, LeaseWire.Command.parseFrom(encoded).getAssignLease().getLease());
        assertEquals(command, CommandCodec.decode(encoded));
    }

    @Test
    void aSnapshotOfTheFirstVersionIsReadAndWrittenAlike() throws Exception {
        byte[] first = LeaseWire.Snapshot.newBuilder()
                .setLastToken(5)
                .addLease(LeaseWire.Lease.newBuilder()
                        .setName("warden")
                        .setHolder("d1")
                        .setToken(5))
                .build()
                .toByteArray();
        ClusterState state = ClusterState.decode(first);
        assertEquals("d1", state.lease(LeaseNames.MAINTENANCE).holder());
        assertEquals(
                LeaseWire.Snapshot.parseFrom(first).getLeaseList(),
                LeaseWire.Snapshot.parseFrom(state.encode()).getLeaseList());
    }
}
