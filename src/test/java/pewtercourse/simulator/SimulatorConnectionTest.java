package pewtercourse.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pewtercourse.decision.CancelAttempt;
import pewtercourse.decision.FailRequest;
import pewtercourse.decision.RejectRequest;
import pewtercourse.decision.SendAttempt;
import pewtercourse.decision.SendGossip;
import pewtercourse.decision.StartTimer;
import pewtercourse.decision.WatchEndpoints;

class SimulatorConnectionTest {
    private static final String START = "ROUND\t100\nNEW_INSTANCE\t3\t99\tClasses.count=1\tClasses.0.Name=doc"
            + "\tClasses.0.Effect=pure\tClasses.0.Aim=500.0\tClasses.0.Deadline=3000.0\tSkus=box,parent,origin"
            + "\tDomain.MidKind=1\tDomain.MasterKind=2\tDomain.ClientKbPerS=5000.0\tDomain.CanJoin=true"
            + "\tZones=hub,edge\tZone=edge\tInstances=1\tPermissions.TryLimit=8\tSome.Unknown=x_y\n"
            + "DIRECTORY\t0\t3\nROW\t5\tedge\tbox\t0\tReady\t1\t-\textra\nROW\t6\thub\tparent\t0\tReady\t1\t-\n"
            + "ROW\t7\thub\torigin\t0\tReady\t1\t-\nPEERS_KNOWN\t3\t0\t1\tdisk\nEOB\n";

    private static String exchange(String input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorConnection(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void answersAnEmptyBatch() throws Exception {
        assertEquals("EOR\n", exchange("ROUND\t8412.25\nEOB\n"));
    }

    @Test
    void sendsAnAttemptForARequestAndAcceptsItsOutcome() throws Exception {
        String out = exchange(
                START + "ROUND\t101.5\nNEW_REQUEST\t3\tc406fa035d3a91c4\tdoc\t-\tc/k\t3000.25\t640\t11\t3\t1\n"
                        + "EOB\nROUND\t130\nRESULT\t3\tc406fa035d3a91c4\t0\t5\tok\t18.5\t1\t2\t9.4\t7,0.4,1.25\t-\nEOB\n");
        assertTrue(out.contains("OBTAIN\t3\tc406fa035d3a91c4\t5\t"), out);
        assertTrue(out.contains("\t6\t1\t0.000\t1\n"), out);
        assertTrue(out.endsWith("EOR\nEOR\n"), out);
    }

    @Test
    void aRetiredInstanceSendsNothingAndCanBeStartedAgain() throws Exception {
        assertEquals("EOR\n", exchange(START + "ROUND\t101\nRETIRE\t3\nEOB\n").split("(?<=EOR\n)")[1]);
        assertTrue(exchange(START + "ROUND\t101\nRETIRE\t3\n" + START.substring(10)).contains("DEFER\t3\tsweep"));
    }

    @Test
    void writesEachActionInTheFormatOfTheProtocol() {
        StringBuilder lines = new StringBuilder();
        SimulatorConnection.write(lines, 3, new SendAttempt(0xc406fa035d3a91c4L, 9, 80_250, 7, 2, 1_500_000, true, true, true));
        SimulatorConnection.write(lines, 3, new CancelAttempt(1, 2));
        SimulatorConnection.write(lines, 3, new RejectRequest(1, 5));
        SimulatorConnection.write(lines, 3, new FailRequest(1));
        SimulatorConnection.write(lines, 3, new StartTimer("sweep", 8_912_250));
        SimulatorConnection.write(lines, 3, new SendGossip(1, new byte[] {104, -1}));
        SimulatorConnection.write(lines, 3, new WatchEndpoints());
        assertEquals("""
                OBTAIN\t3\tc406fa035d3a91c4\t9\t80.250\t7\t2\t1500.000\t11
                REVOKE\t3\t0000000000000001\t2
                SAY_NO\t3\t0000000000000001\t0.005
                FAIL\t3\t0000000000000001
                DEFER\t3\tsweep\t8912.250
                NOTIFY\t3\t1\t68ff
                OBSERVE\t3\t1
                """, lines.toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "REMINDER~9~x | field I",
                "NEW_REQUEST~3~xyz~doc~-~k~10 | field Xid",
                "NEW_REQUEST~3~c406fa035d3a91c4~none~-~k~10 | field Profile",
                "NEW_REQUEST~3~c406fa035d3a91c4~doc~-~k~soon | field Expires",
                "NEW_REQUEST~3~c406fa035d3a91c4~doc~-~k | field Expires",
                "RESULT~3~c406fa035d3a91c4~0~5~fine~1~1 | field Reason",
                "RESULT~3~c406fa035d3a91c4~0~5~ok~1~yes | field Last",
                "MESSAGE~3~1~abc | field Content",
                "PEERS_KNOWN~3~9~1~diff | field SetId",
                "PEERS_KNOWN~3~0~1~half | field Mode",
                "DIRECTORY~0~2 | field NodesList",
                "NONSENSE~3 | no message",
                "ROUND~5 | inside a batch"
            })
    void reportsAMalformedLineWithItsNumberAndField(String line, String expectedText) {
        String input = START + "ROUND\t101\n" + line.replace('~', '\t') + "\nEOB\n";
        Exception error = assertThrows(SimulatorConnection.MalformedException.class, () -> exchange(input));
        assertTrue(error.getMessage().contains(expectedText), error.getMessage());
        assertTrue(error.getMessage().startsWith("line 1"), error.getMessage());
    }

    @Test
    void rejectsInputThatEndsInsideABatch() {
        assertThrows(SimulatorConnection.MalformedException.class, () -> exchange("ROUND\t1\n"));
    }
}
