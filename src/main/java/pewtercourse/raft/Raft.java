package pewtercourse.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * One member of a group that agrees on a log: Raft after Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm" (2014), with pre-vote, a leader that steps down without a majority, leadership transfer, changes of one
 * member at a time and confirmed reads after Ongaro's dissertation (2014: 9.6, 6.2, 3.10, 4.1, 6.4). It knows neither
 * sockets nor disk nor clock: messages, what was saved and {@code now} (microseconds of this member's own monotonic
 * clock) go in; {@link #take} tells what to save, send and apply. What relies on a save is held back until
 * {@link #saved} tells of it. Not for several threads.
 */
public final class Raft {
    /** The state of a server, by the Raft paper, with the pre-vote of the dissertation. */
    public enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    /** Why a leader takes in nothing: another leads, it hands on, it has too much under way, or a change is under way. */
    public enum Refusal {
        NOT_LEADER,
        HANDING_ON,
        BUSY,
        CHANGING,
        UNFIT
    }

    /** Where a proposal will stand if it is agreed; or why it was not taken in. */
    public record Proposed(long index, long term, Refusal refusal) {}

    private static final int VOTERS_LEAST = 2;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final RaftSettings set;
    private final String self;
    private final long incarnation;
    private final Random random;
    private final RaftLog log;
    private long term;
    private String votedFor;
    private Role role = Role.FOLLOWER;
    private String leader;
    private long commit, applied;
    private Membership members;
    private long membersAt;
    private long heardLeader = NEVER, electionDue, heartbeatDue;
    private boolean transferVote, stranger;
    private final Set<String> votes = new HashSet<>();
    // Leader.
    private final Map<String, Progress> progress = new TreeMap<>();
    private long seq, termStart;
    private String transferTo;
    private long transferDue;
    private final LeaderReads reads = new LeaderReads();
    private final IncomingSnapshot incoming = new IncomingSnapshot();
    private final Outbox outbox;
    private Snapshot install; // To replace the state machine's; null: none is.

    public Raft(RaftSettings settings, String self, Saved saved, long now, Random random) {
        this.set = settings;
        this.self = self;
        this.random = random;
        this.incarnation = saved.incarnation();
        this.term = saved.term();
        this.votedFor = saved.votedFor();
        this.log = new RaftLog(saved.snapshot(), saved.entries());
        this.applied = saved.snapshot().index();
        this.commit = Math.max(applied, Math.min(saved.commit(), log.lastIndex()));
        this.outbox = new Outbox(log, commit);
        if (applied > 0 || !saved.snapshot().members().all().isEmpty()) {
            install = saved.snapshot();
        }
        readMembers();
        waitAnew(now);
    }

    // ---- What is known ----

    public Role role() {
        return role;
    }

    /** Null while none is known. */
    public String leader() {
        return leader;
    }

    public long term() {
        return term;
    }

    public long commit() {
        return commit;
    }

    public long lastIndex() {
        return log.lastIndex();
    }

    public long snapshotIndex() {
        return log.snapshot().index();
    }

    public long incarnation() {
        return incarnation;
    }

    /** As of its log's end, which may not be agreed yet. */
    public Membership members() {
        return members;
    }

    /** As of what this member knows to be agreed: a change under way has not happened yet. */
    public Membership agreedMembers() {
        return membersAt <= commit ? members : log.members(commit);
    }

    /**
     * Whether a member has a vote both by what is agreed and by the log's end, for the same folder. Only then may another
     * member be stopped in reliance on it: a promotion that is not agreed yet can still be lost with the leader.
     */
    public boolean agreedVoter(String name) {
        Membership.Member latest = members.all().get(name);
        return latest != null && latest.voter() && agreedMembers().votes(name, latest.incarnation());
    }

    /** The agreed membership lacks this member, by its own log or by what others told. */
    public boolean stranger() {
        return stranger || membersAt <= commit && !members.all().isEmpty() && !members.has(self, incarnation);
    }

    /** The leader's view: how many entries each other member lacks; empty elsewhere. */
    public Map<String, Long> lag() {
        Map<String, Long> lag = new TreeMap<>();
        progress.forEach((name, p) -> lag.put(name, log.lastIndex() - p.match));
        return lag;
    }

    /** The leader's view: who has lost what it said it had saved, and counts no more until it is replaced. */
    public Set<String> regressed() {
        Set<String> names = new HashSet<>();
        progress.forEach((name, p) -> {
            if (p.regressed) {
                names.add(name);
            }
        });
        return names;
    }

    /** The leader's view: who answered within the longest wait for an election. Empty elsewhere. */
    public Set<String> heard(long now) {
        Set<String> heard = new HashSet<>();
        if (role == Role.LEADER) {
            heard.add(self);
            progress.forEach((name, p) -> {
                if (now - p.heardAt <= set.electionTo()) {
                    heard.add(name);
                }
            });
        }
        return heard;
    }

    /** When {@link #tick} has something to do next, by the caller's clock. */
    public long wakeAt() {
        return role == Role.LEADER ? heartbeatDue : electionDue;
    }

    // ---- What happens ----

    /** Time has passed. After a standstill of the process this must come before anything is proposed. */
    public void tick(long now) {
        outbox.saveCommitLater(commit);
        if (role == Role.LEADER) {
            if (transferTo != null && now >= transferDue) {
                transferTo = null;
            }
            if (!heardMajority(now)) {
                stepDown(now, term, null);
            } else if (now >= heartbeatDue) {
                heartbeat(now);
            }
        } else if (now >= electionDue) {
            campaign(now, true, false);
        }
    }

    /** A message of {@code from}, whose folder is {@code of}. */
    public void receive(long now, String from, long of, Message m) {
        if (from.equals(self)) {
            return;
        }
        if (m instanceof Message.VoteRequest v) {
            voteRequest(now, from, of, v);
            return;
        }
        boolean preReply = m instanceof Message.VoteReply r && r.pre();
        if (m.term() > term && !(preReply && ((Message.VoteReply) m).granted())) {
            boolean leads = m instanceof Message.Append || m instanceof Message.Install;
            stepDown(now, m.term(), leads ? from : null);
        }
        if (m instanceof Message.VoteReply v) {
            voteReply(now, from, of, v);
        } else if (m instanceof Message.Append a) {
            append(now, from, a);
        } else if (m instanceof Message.AppendReply a) {
            appendReply(now, from, of, a);
        } else if (m instanceof Message.Install i) {
            install(now, from, i);
        } else if (m instanceof Message.InstallReply i) {
            installReply(now, from, of, i);
        } else if (m instanceof Message.TimeoutNow t && t.term() == term && members.votes(self, incarnation)) {
            campaign(now, false, true);
        }
    }

    /** The save with this number, and all before it, are on disk. */
    public void saved(long now, long number) {
        outbox.saved(number);
        if (role == Role.LEADER) {
            advance(now);
        }
    }

    /** The leader takes a command in; it is agreed once it is among the committed entries with this index and term. */
    public Proposed propose(long now, byte[] command) {
        Refusal no = refusal(now);
        if (no != null) {
            return new Proposed(-1, term, no);
        }
        add(now, Entry.command(log.lastIndex() + 1, term, command));
        return new Proposed(log.lastIndex(), term, null);
    }

    /** Adds a member that learns first and votes once it has caught up; or gives one that is there another address. */
    public Proposed addMember(long now, String name, String address, long ofFolder) {
        Membership to = members.with(name, new Membership.Member(address, ofFolder, false));
        return to.voters() < VOTERS_LEAST ? unfit() : change(now, to);
    }

    public Proposed removeMember(long now, String name) {
        Membership to = members.without(name);
        return !members.all().containsKey(name) || to.voters() < VOTERS_LEAST ? unfit() : change(now, to);
    }

    private Proposed unfit() {
        return new Proposed(-1, term, role == Role.LEADER ? Refusal.UNFIT : Refusal.NOT_LEADER);
    }

    /** Hands the office on to a member that votes; for up to one election's time nothing is taken in. */
    public Refusal transfer(long now, String to) {
        Progress p = progress.get(to);
        if (role != Role.LEADER) {
            return Refusal.NOT_LEADER;
        }
        if (p == null || !members.votes(to, p.incarnation) || now - p.heardAt > set.electionTo()) {
            return Refusal.UNFIT;
        }
        transferTo = to;
        transferDue = now + set.electionTo();
        tryTransfer(now, to, p);
        return null;
    }

    /** The member that is best to hand the office on to: votes, answers, and lacks least; null if there is none. */
    public String heir(long now) {
        return progress.entrySet().stream()
                .filter(e -> members.votes(e.getKey(), e.getValue().incarnation)
                        && now - e.getValue().heardAt <= set.electionFrom())
                .max(Map.Entry.comparingByValue((a, b) -> Long.compare(a.match, b.match)))
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    /** The leader asks a majority whether it still leads; {@link Ready#reads} tells. Null, or why not. */
    public Refusal read(long now, long id) {
        if (role != Role.LEADER) {
            return Refusal.NOT_LEADER;
        }
        if (reads.size() >= set.uncommittedMost()) {
            return Refusal.BUSY;
        }
        // Before its first own entry is agreed a leader may not know all that is (Raft, section 8).
        reads.add(id, Math.max(commit, termStart), seq + 1);
        progress.forEach((name, p) -> sendAppend(now, name, p, true));
        confirmReads();
        return null;
    }

    /** A snapshot after the entry {@code index}, which was applied; null if there is nothing new to take. */
    public Snapshot snapshotAt(long index, byte[] state) {
        return index <= log.snapshot().index() || index > applied
                ? null
                : new Snapshot(index, log.term(index), log.members(index), state);
    }

    /** The state after {@code to.index()} is on disk as a snapshot: what it stands for may go. */
    public void compacted(Snapshot to) {
        if (to.index() > log.snapshot().index() && to.index() <= applied) {
            log.compact(to, set.trailing());
            outbox.compacted(to);
        }
    }

    /** What is to be done now. */
    public Ready take() {
        Save save = outbox.takeSave(term, votedFor, commit);
        List<Entry> committed = new ArrayList<>();
        Snapshot restore = install;
        install = null;
        while (applied < commit) {
            committed.add(log.get(++applied));
        }
        return new Ready(save, outbox.takeMessages(), restore, committed, reads.take());
    }

    // ---- Elections ----

    private void campaign(long now, boolean pre, boolean transfer) {
        if (!members.votes(self, incarnation)) {
            waitAnew(now);
            return;
        }
        endLeading();
        role = pre ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        leader = null;
        votes.clear();
        votes.add(self);
        transferVote = transfer;
        waitAnew(now);
        long asked = term + 1;
        if (!pre) {
            term = asked;
            votedFor = self;
            outbox.stateChanged();
        }
        if (members.majority(votes)) {
            won(now);
            return;
        }
        Message request = new Message.VoteRequest(asked, log.lastIndex(), log.lastTerm(), pre, transfer);
        members.all().forEach((name, m) -> {
            if (m.voter() && !name.equals(self)) {
                say(name, request, !pre);
            }
        });
    }

    private void voteRequest(long now, String from, long of, Message.VoteRequest v) {
        // A member that no longer hears its leader must not unseat one that the others hear (dissertation, 4.2.3).
        boolean led = role == Role.LEADER && heardMajority(now) || now - heardLeader < set.electionFrom();
        boolean upToDate =
                v.lastTerm() > log.lastTerm() || v.lastTerm() == log.lastTerm() && v.lastIndex() >= log.lastIndex();
        if (v.pre()) {
            boolean yes = !led && v.term() > term && upToDate;
            boolean strange = !agreedMembers().has(from, of) && commit > v.lastIndex();
            // With a yes comes the term that was asked for, with a no the own one, so that an old asker learns it.
            say(from, new Message.VoteReply(yes ? v.term() : term, yes, true, strange), false);
            return;
        }
        if (led && !v.transfer()) {
            return;
        }
        if (v.term() > term) {
            stepDown(now, v.term(), null);
        }
        boolean yes = v.term() == term && upToDate && (votedFor == null || votedFor.equals(from));
        if (yes && votedFor == null) {
            votedFor = from;
            outbox.stateChanged();
        }
        if (yes) {
            waitAnew(now);
        }
        say(from, new Message.VoteReply(term, yes, false, false), true);
    }

    private void voteReply(long now, String from, long of, Message.VoteReply v) {
        stranger |= v.stranger();
        boolean mine = v.pre()
                ? role == Role.PRE_CANDIDATE && v.term() == term + 1
                : role == Role.CANDIDATE && v.term() == term;
        if (!mine || !v.granted() || !members.votes(from, of)) {
            return;
        }
        votes.add(from);
        if (members.majority(votes)) {
            if (v.pre()) {
                campaign(now, false, false);
            } else {
                won(now);
            }
        }
    }

    private void won(long now) {
        if (role == Role.PRE_CANDIDATE) {
            campaign(now, false, false);
            return;
        }
        role = Role.LEADER;
        leader = self;
        stranger = false;
        transferTo = null;
        progress.clear();
        members.all().forEach((name, m) -> {
            if (!name.equals(self)) {
                progress.put(name, new Progress(m.incarnation(), log.lastIndex() + 1, now));
            }
        });
        termStart = log.lastIndex() + 1;
        add(now, Entry.empty(termStart, term));
        heartbeatDue = now + set.heartbeat();
    }

    // A term, once higher, is saved before anything is said in it.
    private void stepDown(long now, long to, String leading) {
        if (to > term) {
            term = to;
            votedFor = null;
            outbox.stateChanged();
        }
        endLeading();
        role = Role.FOLLOWER;
        leader = leading;
        waitAnew(now);
    }

    private void endLeading() {
        reads.fail();
        progress.clear();
        transferTo = null;
    }

    private void waitAnew(long now) {
        electionDue = now + set.electionFrom() + (long) (random.nextDouble() * (set.electionTo() - set.electionFrom()));
    }

    private boolean heardMajority(long now) {
        Set<String> heard = new HashSet<>();
        heard.add(self);
        progress.forEach((name, p) -> {
            if (now - p.heardAt <= set.electionTo() && members.votes(name, p.incarnation)) {
                heard.add(name);
            }
        });
        return members.majority(heard);
    }

    // ---- A follower ----

    private boolean fromLeader(long now, String from, long itsTerm) {
        if (itsTerm < term) {
            return false;
        }
        if (role != Role.FOLLOWER || !from.equals(leader)) {
            endLeading();
            role = Role.FOLLOWER;
            leader = from;
        }
        stranger = false;
        heardLeader = now;
        waitAnew(now);
        return true;
    }

    private void append(long now, String from, Message.Append a) {
        if (!fromLeader(now, from, a.term())) {
            say(from, new Message.AppendReply(term, false, 0, a.seq()), true);
            return;
        }
        long known = a.prevIndex() < log.baseIndex() ? -1 : log.term(a.prevIndex());
        if (a.prevIndex() >= log.baseIndex() && known != a.prevTerm()) {
            // The next try goes back by a whole term at once.
            say(
                    from,
                    new Message.AppendReply(
                            term, false, Math.max(commit, log.lastNotAfter(a.prevIndex() - 1, a.prevTerm())), a.seq()),
                    true);
            return;
        }
        for (Entry e : a.entries()) {
            if (e.index() <= commit || e.index() <= log.baseIndex()) {
                continue; // Agreed before, so it is the same.
            }
            if (e.index() <= log.lastIndex() && log.term(e.index()) == e.term()) {
                continue;
            }
            if (e.index() <= log.lastIndex()) {
                log.truncate(e.index());
                outbox.truncated(e.index());
                readMembers();
            }
            store(e);
        }
        long alike = Math.max(a.prevIndex() + a.entries().size(), Math.min(commit, log.lastIndex()));
        commitTo(Math.min(a.commit(), alike));
        say(from, new Message.AppendReply(term, true, alike, a.seq()), true);
    }

    private void install(long now, String from, Message.Install i) {
        if (!fromLeader(now, from, i.term())) {
            say(from, new Message.InstallReply(term, i.lastIndex(), 0, i.seq()), true);
            return;
        }
        if (i.lastIndex() <= commit || log.term(i.lastIndex()) == i.lastTerm()) {
            incoming.drop();
            commitTo(i.lastIndex());
            say(from, new Message.InstallReply(term, i.lastIndex(), i.total(), i.seq()), true);
            return;
        }
        int received = incoming.add(i, set.snapshotMost());
        if (received < i.total()) {
            say(from, new Message.InstallReply(term, i.lastIndex(), received, i.seq()), true);
            return;
        }
        Snapshot whole = new Snapshot(i.lastIndex(), i.lastTerm(), i.members(), incoming.take());
        log.reset(whole);
        commit = whole.index();
        applied = commit;
        install = whole;
        outbox.replaced(whole);
        readMembers();
        say(from, new Message.InstallReply(term, i.lastIndex(), i.total(), i.seq()), true);
    }

    // ---- The leader ----

    private Refusal refusal(long now) {
        if (role != Role.LEADER || !heardMajority(now)) {
            return Refusal.NOT_LEADER;
        }
        return transferTo != null
                ? Refusal.HANDING_ON
                : log.lastIndex() - commit >= set.uncommittedMost() ? Refusal.BUSY : null;
    }

    private Proposed change(long now, Membership to) {
        Refusal no = refusal(now);
        // Not before an entry of this term is agreed: two leaders' changes could else both hold (Ongaro, raft-dev,
        // 2015).
        if (no == null && (membersAt > commit || commit < termStart)) {
            no = Refusal.CHANGING;
        }
        if (no != null) {
            return new Proposed(-1, term, no);
        }
        add(now, Entry.members(log.lastIndex() + 1, term, to));
        return new Proposed(log.lastIndex(), term, null);
    }

    private void add(long now, Entry e) {
        store(e);
        progress.forEach((name, p) -> sendAppend(now, name, p, false));
        advance(now);
    }

    private void store(Entry e) {
        log.append(e);
        outbox.appended(e.index());
        if (e.kind() == Entry.Kind.MEMBERS) {
            readMembers();
        }
    }

    // A membership counts from when it is in the log, agreed or not (dissertation, 4.1).
    private void readMembers() {
        membersAt = log.membersIndex();
        members = log.members(log.lastIndex());
        if (role == Role.LEADER) {
            progress.keySet().retainAll(members.all().keySet());
            members.all().forEach((name, m) -> {
                Progress p = progress.get(name);
                if (!name.equals(self) && (p == null || p.incarnation != m.incarnation())) {
                    progress.put(
                            name, new Progress(m.incarnation(), log.lastIndex() + 1, p == null ? NEVER : p.heardAt));
                }
            });
        }
    }

    private void heartbeat(long now) {
        heartbeatDue = now + set.heartbeat();
        progress.forEach((name, p) -> {
            if (now - p.sentAt >= 2 * set.heartbeat() && (p.out > 0 || p.partAt >= 0)) {
                p.out = 0; // No answer: what is out may be lost.
                p.probing = true;
                p.next = p.match + 1;
            }
            sendAppend(now, name, p, true);
        });
        promote(now);
    }

    /** {@code must}: also without entries, as a heartbeat. */
    private void sendAppend(long now, String name, Progress p, boolean must) {
        long prev = p.next - 1;
        long prevTerm = prev < log.baseIndex() ? -1 : log.term(prev);
        if (prevTerm < 0) {
            sendPart(now, name, p, must);
            return;
        }
        boolean room = p.out < (p.probing ? 1 : set.inFlight());
        List<Entry> entries = room && p.next <= log.lastIndex()
                ? log.slice(p.next, log.lastIndex(), set.batchEntries(), set.batchBytes())
                : List.of();
        if (entries.isEmpty() && !must) {
            return;
        }
        say(name, new Message.Append(term, prev, prevTerm, entries, commit, ++seq), false);
        if (!entries.isEmpty()) {
            p.out++;
            p.sentAt = now;
            if (!p.probing) {
                p.next += entries.size();
                sendAppend(now, name, p, false);
            }
        }
    }

    private void sendPart(long now, String name, Progress p, boolean must) {
        Snapshot s = log.snapshot();
        if (p.partAt >= 0 && p.partIndex == s.index() && !must) {
            return;
        }
        if (p.partAt < 0 || p.partIndex != s.index()) {
            p.partAt = 0;
            p.partIndex = s.index();
        }
        int from = (int) p.partAt, to = Math.min(s.state().length, from + set.partBytes());
        p.sentAt = now;
        say(
                name,
                new Message.Install(
                        term,
                        s.index(),
                        s.term(),
                        s.members(),
                        from,
                        java.util.Arrays.copyOfRange(s.state(), from, to),
                        s.state().length,
                        ++seq),
                false);
    }

    private Progress answered(long now, String from, long of, long itsTerm, long itsSeq) {
        Progress p = role == Role.LEADER && itsTerm == term ? progress.get(from) : null;
        if (p == null) {
            return null;
        }
        if (p.incarnation != of) {
            // It has lost its folder: it learns anew before it counts again.
            addMember(now, from, members.all().get(from).address(), of);
            return null;
        }
        p.heardAt = now;
        p.confirmed = Math.max(p.confirmed, itsSeq);
        return p;
    }

    private void appendReply(long now, String from, long of, Message.AppendReply a) {
        Progress p = answered(now, from, of, a.term(), a.seq());
        if (p == null) {
            return;
        }
        if (a.ok()) {
            if (a.index() > p.match) {
                p.match = a.index();
                p.matchSeq = seq; // What is sent from now on meets a member that has saved so much.
                p.out = p.match >= p.next - 1 ? 0 : Math.max(0, p.out - 1);
            }
            p.next = Math.max(p.next, p.match + 1);
            p.partAt = Progress.NO_SNAPSHOT;
            p.probing = false;
        } else if (a.index() < p.match && a.seq() > p.matchSeq) {
            p.regressed = true; // It has lost what it said it had saved: nothing it says counts any more.
        } else if (a.index() + 1 < p.next && a.seq() > p.matchSeq) {
            p.probing = true;
            p.out = 0;
            p.next = Math.max(p.match + 1, a.index() + 1);
        }
        sendAppend(now, from, p, false);
        advance(now);
        confirmReads();
        if (from.equals(transferTo)) {
            tryTransfer(now, from, p);
        }
    }

    private void installReply(long now, String from, long of, Message.InstallReply i) {
        Progress p = answered(now, from, of, i.term(), i.seq());
        if (p == null) {
            return;
        }
        if (p.partAt >= 0 && p.partIndex == i.lastIndex()) {
            if (i.next() >= log.snapshot().state().length && log.snapshot().index() == i.lastIndex()) {
                p.partAt = Progress.NO_SNAPSHOT;
                p.match = Math.max(p.match, i.lastIndex());
                p.matchSeq = seq;
                p.next = Math.max(p.match + 1, p.next);
                p.probing = true;
                p.out = 0;
                sendAppend(now, from, p, false);
            } else if (i.next() != p.partAt) {
                p.partAt = Math.min(i.next(), log.snapshot().state().length);
                sendPart(now, from, p, true);
            }
        }
        advance(now);
        confirmReads();
    }

    /** The members whose last answers say that {@code what} holds for them. */
    private Set<String> saying(java.util.function.Predicate<Progress> what) {
        Set<String> names = new HashSet<>();
        progress.forEach((name, p) -> {
            if (!p.regressed && members.votes(name, p.incarnation) && what.test(p)) {
                names.add(name);
            }
        });
        return names;
    }

    // Agreed is what a majority has saved, and only an entry of this term says so (Raft, 5.4.2).
    private void advance(long now) {
        long to = commit;
        for (long i = Math.max(commit + 1, termStart); i <= log.lastIndex(); i++) {
            long at = i;
            Set<String> have = saying(p -> p.match >= at);
            if (outbox.savedIndex() >= i) {
                have.add(self);
            }
            if (!members.majority(have)) {
                break;
            }
            to = i;
        }
        if (to == commit) {
            return;
        }
        commitTo(to);
        confirmReads();
        // Told at once: a member that asked would else learn of it with the next heartbeat.
        progress.forEach((name, p) -> sendAppend(now, name, p, p.partAt < 0));
        if (membersAt <= commit && !members.votes(self, incarnation)) {
            stepDown(now, term, null);
        }
    }

    private void commitTo(long index) {
        commit = Math.max(commit, Math.min(index, log.lastIndex()));
    }

    private void confirmReads() {
        reads.confirm(commit, asked -> {
            Set<String> confirm = saying(p -> p.confirmed >= asked);
            confirm.add(self);
            return members.majority(confirm);
        });
    }

    private void tryTransfer(long now, String to, Progress p) {
        if (p.match == log.lastIndex()) {
            say(to, new Message.TimeoutNow(term), false);
        } else {
            sendAppend(now, to, p, false);
        }
    }

    // A learner that has nearly all votes from now on.
    private void promote(long now) {
        for (Map.Entry<String, Membership.Member> e : members.all().entrySet()) {
            Progress p = progress.get(e.getKey());
            if (p != null
                    && !e.getValue().voter()
                    && p.match >= commit
                    && p.match > 0
                    && now - p.heardAt <= set.electionTo()) {
                Membership.Member m = e.getValue();
                change(now, members.with(e.getKey(), new Membership.Member(m.address(), m.incarnation(), true)));
                return;
            }
        }
    }

    /** {@code afterSave}: it promises, or tells of, something that is not on disk yet. */
    private void say(String to, Message m, boolean afterSave) {
        if (afterSave) {
            outbox.sendAfterSave(to, m);
        } else {
            outbox.send(to, m);
        }
    }
}
