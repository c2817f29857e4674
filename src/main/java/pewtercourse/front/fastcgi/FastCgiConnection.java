package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.eventloop.ArrivalTracker;
import pewtercourse.eventloop.SocketInput;
import pewtercourse.eventloop.TcpSendQueues;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.Drain;
import pewtercourse.front.ReadDelays;
import pewtercourse.front.RequestHandler;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryStage;
import pewtercourse.memory.RequestBytes;
import pewtercourse.memory.SocketReads;

/**
 * One connection from a web server, with up to 32 open requests. A request collects PARAMS and STDIN, is handed over to the
 * {@link RequestHandler} once both have ended, and is removed when it is answered or aborted. Malformed input fails the
 * request, or closes the connection if the stream of records itself is malformed. Confined to the event loop.
 */
final class FastCgiConnection {
    static final int MAX_OPEN_REQUESTS = 32;
    private static final int MAX_PARAMS_BYTES = 16_384;
    private static final int MAX_BODY_BYTES = 48_000;
    // While more bytes than this wait to be written, complete requests are deferred: no more work is done for
    // a client that does not read its answers. Its records are still read, so that an abort or a close is
    // seen at once.
    private static final int MAX_UNWRITTEN_BYTES = 1 << 20;
    // Limits what Vert.x buffers for one connection, apart from one record: 341 clients that do not read must fit into
    // the direct memory, also into the smaller one of a process that takes part in an upgrade.
    private static final int WRITE_QUEUE_BYTES = 16 * 1024;
    // A request must be complete within this time: the first one counted from the connect, later ones from their
    // first record. Usual clients send a request at once.
    static final long REQUEST_TIMEOUT_MS = 2_500;
    // One second longer than usual clients keep an idle connection.
    static final long IDLE_TIMEOUT_MS = 5_000;
    // During a drain, a connection is closed this long after its last answer: the client has read the answer by
    // then, and no part of its next request has arrived.
    static final long DRAIN_IDLE_MS = 30;
    // During a drain, for connections that are closed once empty. The event loop reads received bytes before it
    // runs a timer, so nothing that has arrived is cut off.
    static final long DRAIN_EMPTY_MS = 1;
    // The same for a connection that has had no request yet.
    static final long DRAIN_NEW_MS = 100;
    // How long a graceful close waits for the client's close before it closes the connection.
    static final long LINGER_TIMEOUT_MS = 150;
    // The kernel answers within milliseconds what the client has of its answers.
    private static final long KERNEL_RECHECK_MS = 10;
    // After malformed input the connection is not read for a while, longer each time, so that a client that
    // repeats such input at full speed does not slow down the others. Its answers are not delayed. A close by the
    // client is not seen meanwhile, so the maximum is below the 100 ms after which no work may start for a client
    // that has closed.
    static final long FIRST_PENALTY_MS = 20;
    static final long MAX_PENALTY_MS = 80;
    // Smaller incomplete records are kept at the limit for the bytes of requests: they cost less than their rejection.
    private static final int MIN_SKIPPED_BYTES = 1_024;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final Set<String> LIMIT_NAMES = Set.of("FCGI_MAX_CONNS", "FCGI_MAX_REQS", "FCGI_MPXS_CONNS");
    private static final String SLOW_RECORD = "a record was not complete in time";
    private static final boolean TRACING = Boolean.getBoolean("pewtercourse.trace");
    // The pushback for clients that are refused because a limit is reached.
    private static final long PUSHBACK_MS = 250;

    private final NetSocket socket;
    private final RequestHandler handler;
    private final LongSupplier clock;
    private final Timers timers;
    private final ConnectionTable table;
    private final HeldBytes held;
    private final RequestBytes.Account requestBytes;
    private final InputShare share;
    private final ReadDelays delays;
    private final ArrivalTracker arrivals;
    private final long acceptedAtMicros;
    private final RecordReader reader = new RecordReader();
    private final Map<Integer, OpenRequest> openRequests = new HashMap<>();
    private final OutputQueue output;
    private final AnswerDelivery delivery;
    // Complete, until the client reads its answers and its records are handled: an abort may be among them.
    private final Deque<OpenRequest> deferred = new ArrayDeque<>();
    private ConnectionTable.State state;
    private long countedRecordBytes;
    private long idleTimer = -1;
    private long penaltyTimer = -1;
    private long partialRecordTimer = -1;
    private long penaltyMs;
    private long drainCutoffMicros;
    private int handedOverCount;
    private long handledRecords;
    private boolean closed;
    private boolean closing;
    private boolean closeWhenWritten;
    private boolean reading;
    private boolean readsAhead; // What has arrived is handled also while reading is paused: an attempt depends on it.
    private int recordsLeft; // Of those that may be handled before others have their turn.
    private boolean waitsForShare;
    private boolean readingPaused;
    private boolean hadRequest;
    private boolean strayRecordSeen;

    FastCgiConnection(
            NetSocket socket,
            RequestHandler handler,
            LongSupplier clock,
            Timers timers,
            ConnectionTable table,
            HeldBytes held,
            ReadDelays delays,
            TcpSendQueues sendQueues,
            RequestBytes requestBytes,
            InputShare share,
            Runnable onSocketClosed) {
        this.socket = socket;
        this.arrivals = SocketInput.trackArrivals(socket);
        this.delays = delays;
        this.handler = handler;
        this.clock = clock;
        this.timers = timers;
        this.share = share;
        this.requestBytes = requestBytes.newAccount();
        this.table = table;
        this.held = held;
        this.output = new OutputQueue(socket, held, this::onWriteFailed);
        this.delivery = new AnswerDelivery(output, sendQueues.of(socket), clock, timers, held, this::closeAsStalled);
        this.acceptedAtMicros = clock.getAsLong();
        socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
        socket.handler(this::read);
        socket.drainHandler(v -> writeQueued());
        socket.exceptionHandler(FastCgiConnection::onConnectionError);
        socket.closeHandler(v -> {
            onClosed();
            onSocketClosed.run();
        });
        updateState();
    }

    // A broken connection ends by its close handler. An Error concerns the whole process.
    private static void onConnectionError(Throwable e) {
        if (e instanceof Error error) {
            throw error;
        }
        Log.counted("front.connection_error", "error", e);
    }

    // What could not be written is missing in the stream of records, so nothing may follow it.
    private void onWriteFailed(Throwable e) {
        if (e instanceof Error error) {
            throw error;
        }
        close();
    }

    /** The clock in microseconds when the connection was accepted. */
    long acceptedAtMicros() {
        return acceptedAtMicros;
    }

    @Override
    public String toString() {
        return String.valueOf(socket.remoteAddress());
    }

    // Without an open complete request, the connection waits for its client only for a limited time.
    private void updateState() {
        ConnectionTable.State newState = currentState();
        if (newState == state) {
            return;
        }
        table.onStateChanged(this, state, newState);
        state = newState;
        strayRecordSeen = false;
        timers.cancel(idleTimer);
        switch (newState) {
            case NEW -> idleTimer = timers.set(REQUEST_TIMEOUT_MS, this::closeWithoutRequest);
            case IDLE -> startIdleTimer();
            case CLOSING -> startLingerTimer();
            default -> {}
        }
    }

    // A close over bytes that the client has not read yet would drop them if the client sends another one.
    private void startLingerTimer() {
        idleTimer = timers.set(LINGER_TIMEOUT_MS, () -> {
            if (delivery.isReading()) {
                startLingerTimer();
            } else {
                close();
            }
        });
    }

    /** Whether the client still reads answers: those that wait here, and those that the kernel has. */
    boolean isDelivering() {
        return !closed && delivery.isReading();
    }

    private ConnectionTable.State currentState() {
        if (closed) {
            return ConnectionTable.State.ENDED;
        }
        if (closing) {
            return ConnectionTable.State.CLOSING;
        }
        if (handedOverCount > 0 || !output.isEmpty()) {
            return ConnectionTable.State.WORKING;
        }
        return hadRequest ? ConnectionTable.State.IDLE : ConnectionTable.State.NEW;
    }

    /** Starts the timer that closes the idle connection; its delay depends on the stage of the director's drain. */
    void startIdleTimer() {
        timers.cancel(idleTimer);
        drainCutoffMicros = clock.getAsLong() + REQUEST_TIMEOUT_MS * 1000;
        idleTimer = timers.set(idleTimeoutMs(), this::closeAfterIdle);
    }

    private long idleTimeoutMs() {
        return switch (table.drainStage()) {
            case OPEN -> IDLE_TIMEOUT_MS;
            case CLOSE_IDLE_AFTER_PAUSE -> DRAIN_IDLE_MS;
            case CLOSE_IDLE, REFUSE -> hadRequest ? DRAIN_EMPTY_MS : DRAIN_NEW_MS;
        };
    }

    private void closeWithoutRequest() {
        if (!handlesArrivedRecords()) {
            close();
        }
    }

    // The client may have sent a request while the event loop was behind: a timer must not close the connection over
    // it.
    private boolean handlesArrivedRecords() {
        long recordsBefore = handledRecords;
        readArrived();
        return closed || waitsForShare || handledRecords != recordsBefore;
    }

    /** Reads what has arrived; whether that changed the state of the connection, or ended it. */
    boolean changesStateOnRead() {
        ConnectionTable.State stateBefore = state;
        readArrived();
        return closed || state != stateBefore;
    }

    // A drain interrupts neither a request that has partly arrived nor an answer that the client
    // is still reading.
    private void closeAfterIdle() {
        if (handlesArrivedRecords()) {
            if (!closed && state == ConnectionTable.State.IDLE) {
                startIdleTimer();
            }
            return;
        }
        if (delivery.isReading()) {
            long recheckMs = delivery.isKnown() ? Math.max(DRAIN_IDLE_MS, idleTimeoutMs()) : KERNEL_RECHECK_MS;
            idleTimer = timers.set(recheckMs, this::closeAfterIdle);
            return;
        }
        boolean inUse = !openRequests.isEmpty() || reader.pending() > 0 || !output.isEmpty() || penaltyTimer >= 0;
        if (!inUse) {
            closeGracefully();
        } else if (table.drainStage() != Drain.Stage.OPEN && clock.getAsLong() < drainCutoffMicros) {
            idleTimer = timers.set(DRAIN_IDLE_MS, this::closeAfterIdle);
        } else {
            close();
        }
    }

    /**
     * Shuts down the output after the last answer and waits for the client to close. A plain close while received bytes are
     * unread would reset the connection, and the client would lose the part of the answer that it has not read. Bytes that
     * arrive from now on are discarded, as after any close.
     */
    private void closeGracefully() {
        if (closed || closing) {
            return;
        }
        closing = true;
        timers.cancel(partialRecordTimer);
        updateState();
        GracefulClose.shutOutput(socket);
    }

    private void countPartialRecord() {
        updateRecordBytes();
        if (requestBytes.mustReject()) {
            rejectIncompleteRecord();
        }
    }

    private void updateRecordBytes() {
        long addedBytes = reader.heldBytes() - countedRecordBytes;
        countedRecordBytes += addedBytes;
        requestBytes.add(addedBytes);
    }

    // The client may have sent the rest of the request, and more of them: a close would lose these.
    private void rejectIncompleteRecord() {
        boolean isSmall = reader.pending() < MIN_SKIPPED_BYTES;
        Record dropped = isSmall || reader.hasNext() ? null : skipIncompleteRecord();
        OpenRequest request = dropped == null ? null : openRequests.get(dropped.id());
        if (request != null && !request.isComplete) {
            rejectForMemory();
            answer(dropped.id(), request, Answer.refused(PUSHBACK_MS));
        }
    }

    /** Drops the incomplete record and what will come of it; returns null if not even its header is complete. */
    private Record skipIncompleteRecord() {
        Record dropped = reader.skipIncomplete();
        updateRecordBytes();
        return dropped;
    }

    private void rejectForMemory() {
        held.recordRejection(MemoryStage.REQUESTS);
        Log.counted(
                "memory.rejected",
                "stage",
                MemoryStage.REQUESTS,
                "held",
                held.bytes(MemoryStage.REQUESTS),
                "from",
                this);
    }

    // A record that has begun must be complete in time, also on a connection that has had requests.
    private void updatePartialRecordTimer(boolean progress) {
        if (progress || reader.pending() == 0) {
            timers.cancel(partialRecordTimer);
            partialRecordTimer = -1;
        }
        if (partialRecordTimer < 0 && reader.pending() > 0) {
            partialRecordTimer = timers.set(REQUEST_TIMEOUT_MS, this::onPartialRecordTimeout);
        }
    }

    private void onPartialRecordTimeout() {
        partialRecordTimer = -1;
        if (handlesArrivedRecords()) {
            return;
        }
        boolean othersWait = state == ConnectionTable.State.WORKING || !deferred.isEmpty();
        if (othersWait) {
            failSlowRecord();
        } else {
            reportMalformed(SLOW_RECORD);
            close();
        }
    }

    // Other requests of this connection wait for their answers: only the one that is late fails.
    private void failSlowRecord() {
        Record slow = reader.hasNext() ? null : skipIncompleteRecord();
        if (slow == null) {
            partialRecordTimer = timers.set(REQUEST_TIMEOUT_MS, this::onPartialRecordTimeout);
            return;
        }
        OpenRequest request = openRequests.get(slow.id());
        if (request != null && !request.isComplete) {
            reject(slow.id(), request, SLOW_RECORD);
        } else if (request == null && slow.type() == Record.BEGIN && slow.id() != 0) {
            reportMalformed(SLOW_RECORD);
            reply(slow.id(), new OpenRequest(slow.id(), true), Answer.failed(), Record.REQUEST_COMPLETE);
        } else {
            reportMalformed(SLOW_RECORD);
        }
    }

    private final class OpenExchange implements ClientExchange {
        private final OpenRequest request;

        OpenExchange(OpenRequest request) {
            this.request = request;
        }

        @Override
        public void accept(Answer answer) {
            answer(request.id, request, answer);
        }

        @Override
        public boolean readArrived() {
            return FastCgiConnection.this.readArrived();
        }
    }

    // The library reports the end of a connection later only, as a task of the event loop.
    // Returns false if the client has sent more records than it may have handled at once, so that its end may stand
    // behind them.
    private boolean readArrived() {
        if (closed || reading || readsAhead) {
            return true;
        }
        if (waitsForShare) {
            return false;
        }
        readsAhead = true;
        recordsLeft = share.recordsPerTurn();
        try {
            handleRecords();
            if (!closed && !SocketInput.readArrived(socket, () -> !closed && !waitsForShare)) {
                onClosed();
            }
        } finally {
            readsAhead = false;
        }
        handOverDeferred();
        return !waitsForShare;
    }

    private void read(Buffer bytes) {
        if (closing) {
            return;
        }
        arrivals.beginReads();
        reader.add(bytes);
        handleRecords();
    }

    // Handles the records that have come, as far as this connection's share of the turn allows.
    private void handleRecords() {
        if (closed || closing || reading) {
            return;
        }
        reading = true;
        try {
            boolean progress = handleNextRecords();
            if (!closed && !closing) {
                countPartialRecord();
            }
            if (!closed && !closing) {
                updatePartialRecordTimer(progress);
                handOverDeferred();
            }
        } catch (MalformedRecordException e) {
            reportMalformed(e.getMessage());
            close();
        } catch (RuntimeException e) {
            Log.error("front.unexpected", e);
            close();
        } finally {
            reading = false;
        }
    }

    private boolean handleNextRecords() throws MalformedRecordException {
        int bytesLeft = InputShare.MAX_BYTES;
        if (!readsAhead) {
            recordsLeft = share.recordsPerTurn();
        }
        boolean progress = false;
        while (!closed && !closing && reader.hasNext()) {
            boolean isPaused = penaltyTimer >= 0 && !readsAhead;
            if (recordsLeft <= 0 || bytesLeft <= 0 || isPaused) {
                waitForShare();
                return true;
            }
            Record record = reader.next();
            recordsLeft--;
            bytesLeft -= record.content().length();
            handleRecord(record);
            progress = true;
        }
        reader.trim();
        return progress;
    }

    private void waitForShare() {
        if (penaltyTimer < 0) {
            waitsForShare = true;
            pauseReadingFor(share.beginWait());
        } else if (recordsLeft <= 0 && !waitsForShare) {
            waitsForShare = true; // Until the pause is over that has begun already.
            share.beginWait();
        }
    }

    // Records without an open request are legal after an abort, but do not keep the connection open: a request
    // must begin in time, or the client could send such records for as long as a connection may be idle.
    private void limitStrayRecords() {
        if (state == ConnectionTable.State.IDLE && !strayRecordSeen && table.drainStage() == Drain.Stage.OPEN) {
            strayRecordSeen = true;
            timers.cancel(idleTimer);
            idleTimer = timers.set(REQUEST_TIMEOUT_MS, this::closeAfterIdle);
        }
    }

    private void handleRecord(Record record) throws MalformedRecordException {
        handledRecords++;
        OpenRequest request = openRequests.get(record.id());
        if (request == null && record.type() != Record.BEGIN) {
            limitStrayRecords();
        }
        switch (record.type()) {
            case Record.BEGIN -> begin(record, request);
            case Record.ABORT -> abort(record.id(), request);
            case Record.PARAMS -> {
                if (request != null && !request.paramsEnded) {
                    request.paramsEnded = record.content().length() == 0;
                    append(record, request, MAX_PARAMS_BYTES);
                }
            }
            case Record.STDIN -> {
                if (request != null && !request.isComplete) {
                    append(record, request, MAX_BODY_BYTES);
                    if (record.content().length() == 0 && openRequests.get(record.id()) == request) {
                        onRequestComplete(request);
                    }
                }
            }
            case Record.GET_VALUES ->
                writeManagementAnswer(Record.encode(Record.GET_VALUES_RESULT, 0, encodeLimits(record.content())));
            default -> {
                if (record.id() == 0) {
                    writeManagementAnswer(Record.unknownType(record.type()));
                }
            }
        }
    }

    private void writeManagementAnswer(Buffer answer) {
        write(answer);
        limitUnforwardedAnswers();
    }

    // A client that causes answers without a cache at full speed and never reads them would fill the memory.
    private void limitUnforwardedAnswers() {
        if (output.bytes() > MAX_UNWRITTEN_BYTES) {
            pauseReading();
        }
        if (!output.isEmpty() && held.bytes(MemoryStage.ANSWERS) > held.limits().responseBytes()) {
            closeAsStalled();
        }
    }

    private void begin(Record record, OpenRequest request) throws MalformedRecordException {
        if (record.id() == 0 || request != null || record.content().length() < 8) {
            throw new MalformedRecordException(
                    "BEGIN_REQUEST with id 0, an id in use or less than 8 bytes: id " + record.id());
        }
        boolean keepConnection = (record.content().getByte(2) & Record.KEEP_CONN) != 0;
        if (record.content().getUnsignedShort(0) != Record.RESPONDER) {
            write(Record.end(record.id(), Record.UNKNOWN_ROLE));
            closeWhenWritten |= !keepConnection;
            return;
        }
        OpenRequest newRequest = new OpenRequest(record.id(), keepConnection);
        if (openRequests.size() >= MAX_OPEN_REQUESTS) {
            reply(record.id(), newRequest, Answer.refused(PUSHBACK_MS), Record.OVERLOADED);
            pauseReading();
            limitUnforwardedAnswers();
            return;
        }
        openRequests.put(record.id(), newRequest);
        requestBytes.add(newRequest.heldBytes());
        if (requestBytes.mustReject()) {
            rejectForMemory();
            openRequests.remove(record.id());
            requestBytes.add(-newRequest.heldBytes());
            reply(record.id(), newRequest, Answer.refused(PUSHBACK_MS), Record.OVERLOADED);
            pauseReading();
            limitUnforwardedAnswers();
            return;
        }
        long timeoutMs = hadRequest
                ? REQUEST_TIMEOUT_MS
                : Math.max(1, REQUEST_TIMEOUT_MS - (clock.getAsLong() - acceptedAtMicros) / 1000);
        newRequest.timer = timers.set(timeoutMs, () -> onRequestTimeout(newRequest));
    }

    private void onRequestTimeout(OpenRequest request) {
        if (!readArrived()) {
            request.timer = timers.set(MAX_PENALTY_MS, () -> onRequestTimeout(request));
        } else if (!request.isComplete) {
            reject(request.id, request, "the request was not complete in time");
        }
    }

    private void append(Record record, OpenRequest request, int maxBytes) {
        long heldBefore = request.heldBytes();
        Buffer collected = request.append(record);
        requestBytes.add(request.heldBytes() - heldBefore);
        if (collected.length() > maxBytes) {
            // The rest of the request would only be discarded, and may be tens of megabytes.
            closeWhenWritten = true;
            reject(
                    record.id(),
                    request,
                    (collected == request.params ? "PARAMS" : "STDIN") + " over " + maxBytes + " bytes");
        } else if (requestBytes.mustReject()) {
            rejectForMemory();
            answer(record.id(), request, Answer.refused(PUSHBACK_MS));
        }
    }

    /** Fails a malformed request at once, and reads from the client more slowly. */
    private void reject(int id, OpenRequest request, String reason) {
        reportMalformed(reason);
        answer(id, request, Answer.failed());
        limitUnforwardedAnswers();
    }

    private void reportMalformed(String reason) {
        Log.counted("front.malformed", "from", this, "error", reason);
        pauseReading();
    }

    private void pauseReading() {
        if (penaltyTimer < 0 && !closed) {
            penaltyMs = Math.min(MAX_PENALTY_MS, Math.max(FIRST_PENALTY_MS, 2 * penaltyMs));
            pauseReadingFor(penaltyMs);
        }
    }

    private void pauseReadingFor(long pauseMs) {
        penaltyTimer = timers.set(pauseMs, () -> {
            penaltyTimer = -1;
            endWaitForShare();
            handleRecords();
            writeQueued();
        });
        writeQueued();
    }

    private void endWaitForShare() {
        if (waitsForShare) {
            waitsForShare = false;
            share.endWait();
        }
    }

    /** Cancels the timer of a request that is no longer open and drops its bytes: its exchange may be kept for longer. */
    private void release(OpenRequest request) {
        timers.cancel(request.timer);
        requestBytes.add(-request.heldBytes());
        request.dropContent();
        if (request.isHandedOver) {
            handedOverCount--;
        }
        hadRequest = true;
    }

    private void abort(int id, OpenRequest request) {
        if (request == null) {
            return;
        }
        openRequests.remove(id);
        release(request);
        onClientLeft(request, "abort");
        closeWhenWritten |= !request.keepConnection;
        write(Record.end(id, Record.REQUEST_COMPLETE));
        updateState();
    }

    private void onClientLeft(OpenRequest request, String reason) {
        if (request.onClientGone == null) {
            return;
        }
        delays.recordClientLeft();
        if (TRACING) {
            long waitedMs = arrivals.longestWaitNanos() / NANOS_PER_MICRO / MICROS_PER_MILLI;
            Log.info("client.left", "from", this, "record", request.id, "reason", reason, "waited_ms", waitedMs);
        }
        request.onClientGone.run();
    }

    private void onRequestComplete(OpenRequest request) {
        timers.cancel(request.timer);
        request.isComplete = true;
        long waitedMicros = arrivals.longestWaitNanos() / NANOS_PER_MICRO;
        request.arrivedAtMicros = clock.getAsLong() - waitedMicros;
        delays.recordRead(toString(), waitedMicros);
        if (TRACING) {
            Log.info("request.read", "from", this, "record", request.id, "waited_ms", waitedMicros / MICROS_PER_MILLI);
        }
        deferred.add(request);
    }

    private void handOverDeferred() {
        while (!closed
                && output.bytes() <= MAX_UNWRITTEN_BYTES
                && !deferred.isEmpty()
                && !readsAhead
                && !reader.hasNext()) {
            OpenRequest request = deferred.poll();
            if (openRequests.get(request.id) == request) {
                handOver(request);
            }
        }
    }

    private void handOver(OpenRequest request) {
        int id = request.id;
        request.isHandedOver = true;
        handedOverCount++;
        updateState();
        try {
            Map<String, String> params = takeParams(request);
            if (CgiRequest.isHealthCheck(params)) {
                answer(
                        id,
                        request,
                        handler.ready() ? Answer.served(Buffer.buffer("ok\n"), null) : Answer.refused(PUSHBACK_MS));
                return;
            }
            ClientRequest decoded = CgiRequest.decode(params, request.body, request.arrivedAtMicros);
            Runnable onClientGone = handler.handle(decoded, new OpenExchange(request));
            request.onClientGone = onClientGone;
            // A request that is answered at once was invalid, unless the director drains. During a drain reading
            // goes on: requests that a client sends while it is not read would be lost with the connection.
            if (openRequests.get(id) != request && table.drainStage() != Drain.Stage.REFUSE) {
                pauseReading();
            } else {
                penaltyMs = 0;
            }
        } catch (MalformedRecordException e) {
            reject(id, request, e.getMessage());
        } catch (RuntimeException e) {
            Log.error("front.unexpected", e);
            answer(id, request, Answer.failed());
        }
    }

    // The decoded parameters are small; their bytes are held no longer.
    private Map<String, String> takeParams(OpenRequest request) throws MalformedRecordException {
        long heldBefore = request.heldBytes();
        Buffer params = request.takeParams();
        requestBytes.add(request.heldBytes() - heldBefore);
        return Record.pairs(params, CgiRequest::isParameter);
    }

    /** Answers the request if it is still the open one with this id, and was not aborted meanwhile. */
    private void answer(int id, OpenRequest request, Answer answer) {
        if (closed || request == null || openRequests.get(id) != request) {
            return;
        }
        openRequests.remove(id);
        release(request);
        reply(id, request, answer, Record.REQUEST_COMPLETE);
        updateState();
    }

    private void reply(int id, OpenRequest request, Answer answer, int protocolStatus) {
        closeWhenWritten |= !request.keepConnection;
        output.add(AnswerRecords.encode(id, answer, protocolStatus));
        writeQueued();
    }

    private static Buffer encodeLimits(Buffer names) throws MalformedRecordException {
        Map<String, String> limits = new LinkedHashMap<>();
        for (String name : Record.pairs(names, LIMIT_NAMES::contains).keySet()) {
            switch (name) {
                case "FCGI_MAX_CONNS" -> limits.put(name, "300");
                case "FCGI_MAX_REQS" -> limits.put(name, String.valueOf(300 * MAX_OPEN_REQUESTS));
                case "FCGI_MPXS_CONNS" -> limits.put(name, "1");
                default -> {}
            }
        }
        return Record.pairs(limits);
    }

    private void write(Buffer bytes) {
        output.add(List.of(bytes));
        writeQueued();
    }

    // Writes until the socket is full, then pauses or resumes reading and closes the connection if it is
    // to be closed.
    private void writeQueued() {
        if (closed) {
            return;
        }
        delivery.onWritten(output.write());
        if (closed) {
            return;
        }
        if (readingPaused != penaltyTimer >= 0) {
            readingPaused = !readingPaused;
            if (readingPaused) {
                arrivals.pause();
                SocketReads.pause(socket);
            } else {
                arrivals.resume();
                SocketReads.resume(socket);
            }
        }
        handOverDeferred();
        if (closeWhenWritten && output.isEmpty() && openRequests.isEmpty()) {
            closeGracefully();
        }
        updateState();
    }

    private void closeAsStalled() {
        Log.counted("front.slow_reader", "from", this, "waiting", output.bytes());
        close();
    }

    /** Closes the connection at once, with all its open requests. */
    void close() {
        socket.close();
        onClosed();
    }

    private void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        endWaitForShare();
        output.clear();
        deferred.clear();
        timers.cancel(penaltyTimer);
        delivery.cancel();
        timers.cancel(partialRecordTimer);
        requestBytes.add(-countedRecordBytes);
        for (OpenRequest request : openRequests.values()) {
            release(request);
            onClientLeft(request, "close");
        }
        openRequests.clear();
        updateState();
    }
}
