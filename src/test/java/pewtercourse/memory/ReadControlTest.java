package pewtercourse.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Receives responses of random lengths in random pieces, for clients that read at random times. */
class ReadControlTest {
    private static final int FIRST_PIECE_BYTES = 8 * 1024;
    private static final int MAX_PIECE_BYTES = 16 * 1024;
    private static final int MAX_RESPONSE_BYTES = 240_000;
    private static final int RESPONSES = 300;
    private static final long MEBIBYTE = 1 << 20;
    private static final MemoryLimits LIMITS = MemoryLimits.of(144 * MEBIBYTE, 57 * MEBIBYTE);

    private final HeldBytes held = new HeldBytes(LIMITS);
    private final ReadControl control = new ReadControl(held);
    private final List<Response> open = new ArrayList<>();
    private long unreadAnswerBytes;

    private final class Response implements ReadControl.PausableRead {
        final int length;
        int received;
        boolean paused;

        Response(int length) {
            this.length = length;
        }

        @Override
        public void pause() {
            paused = true;
        }

        @Override
        public void resume() {
            paused = false;
        }

        void receive(int bytes) {
            boolean isHead = received == 0;
            received = Math.min(length, received + bytes);
            if (received == length) {
                held.add(MemoryStage.ANSWERS, length);
                unreadAnswerBytes += length;
                finish();
            } else if (isHead) {
                control.reserve(this, length, received);
            }
        }

        void finish() {
            open.remove(this);
            control.release(this);
        }
    }

    private Response begin(Random random) {
        Response response = new Response(1 + random.nextInt(MAX_RESPONSE_BYTES));
        open.add(response);
        return response;
    }

    private void readAnswers(long bytes) {
        long read = Math.min(bytes, unreadAnswerBytes);
        unreadAnswerBytes -= read;
        held.release(MemoryStage.ANSWERS, read);
    }

    private void receiveSomewhere(Random random) {
        List<Response> readable =
                open.stream().filter(response -> !response.paused).toList();
        if (!readable.isEmpty()) {
            Response response = readable.get(random.nextInt(readable.size()));
            response.receive(1 + random.nextInt(response.received == 0 ? FIRST_PIECE_BYTES : MAX_PIECE_BYTES));
        }
    }

    // What came with a head before its reading could be paused may exceed the limit.
    private void assertWithinLimits() {
        long bound = LIMITS.responseBytes() + (long) RESPONSES * FIRST_PIECE_BYTES;
        assertTrue(held.responseBytes() <= bound, "held " + held.responseBytes() + " of " + bound);
        long memory = open.stream().mapToLong(response -> response.received).sum() + unreadAnswerBytes;
        assertTrue(memory <= held.responseBytes() + (long) RESPONSES * FIRST_PIECE_BYTES, "not counted: " + memory);
    }

    // Guards against a heap that is exhausted by the bytes of responses, whatever caches send and clients leave unread.
    @Property(tries = 20, seed = "7")
    void keepsResponsesWithinTheLimitAndLetsEachBecomeComplete(@ForAll long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < RESPONSES; i++) {
            begin(random);
        }
        for (int step = 0; step < 20_000; step++) {
            receiveSomewhere(random);
            assertWithinLimits();
            if (random.nextInt(50) == 0 && !open.isEmpty()) {
                open.get(random.nextInt(open.size())).finish(); // Given up.
                begin(random);
            }
            if (random.nextInt(4) == 0) {
                readAnswers(random.nextInt(4 * MAX_PIECE_BYTES));
            }
        }
        for (int step = 0; !open.isEmpty(); step++) {
            assertTrue(step < 500_000, open.size() + " responses make no progress");
            receiveSomewhere(random);
            readAnswers(MAX_PIECE_BYTES);
            assertWithinLimits();
        }
        readAnswers(Long.MAX_VALUE);
        assertEquals(0, held.responseBytes());
        assertEquals(0, control.pausedReads());
        assertTrue(control.admitsRequests());
    }

    @Example
    void readsNoFurtherResponseWhileClientsLeaveTheirAnswersUnread() {
        Random random = new Random(7);
        for (int i = 0; i < RESPONSES; i++) {
            begin(random);
        }
        for (int step = 0; step < 40_000; step++) {
            receiveSomewhere(random);
            assertWithinLimits();
        }
        assertFalse(open.isEmpty());
        assertTrue(open.stream().allMatch(response -> response.paused), "a response is read that has no memory");
        assertFalse(control.admitsRequests());
        readAnswers(Long.MAX_VALUE);
        assertTrue(open.stream().anyMatch(response -> !response.paused), "no response is read though memory is free");
    }

    @Example
    void pausesNothingBelowTheLimit() {
        Random random = new Random(7);
        while (held.responseBytes() < LIMITS.responseBytes() - MAX_RESPONSE_BYTES) {
            begin(random).receive(1);
        }
        assertEquals(0, control.pauses());
        assertTrue(control.admitsRequests());
    }

    @Example
    void leavesMemoryForTheProgramInEachSizeOfHeap() {
        for (int heapMb = 16; heapMb <= 205; heapMb++) {
            long heap = heapMb * MEBIBYTE;
            MemoryLimits limits = MemoryLimits.of(512 * MEBIBYTE, heap);
            assertTrue(limits.requestBytes() > 0 && limits.responseBytes() >= MAX_RESPONSE_BYTES);
            assertTrue(
                    limits.requestBytes() + limits.responseBytes() <= 0.6 * heap,
                    "of a heap of " + heapMb + " MB: " + limits);
        }
    }
}
