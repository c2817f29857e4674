package pewtercourse.raft;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pewtercourse.raft.wire.Wire;

/** Between the records of this package and their form on the wire and on disk. */
public final class Codec {
    private Codec() {}

    public static Wire.Members encode(Membership m) {
        Wire.Members.Builder b = Wire.Members.newBuilder();
        m.all()
                .forEach((name, x) -> b.addMember(Wire.Member.newBuilder()
                        .setName(name)
                        .setAddress(x.address())
                        .setIncarnation(x.incarnation())
                        .setVoter(x.voter())));
        return b.build();
    }

    public static Membership decode(Wire.Members m) {
        Map<String, Membership.Member> all = new TreeMap<>();
        m.getMemberList()
                .forEach(x ->
                        all.put(x.getName(), new Membership.Member(x.getAddress(), x.getIncarnation(), x.getVoter())));
        return new Membership(all);
    }

    public static Wire.Entry encode(Entry e) {
        Wire.Entry.Builder b = Wire.Entry.newBuilder().setIndex(e.index()).setTerm(e.term());
        switch (e.kind()) {
            case COMMAND -> b.setCommand(ByteString.copyFrom(e.command()));
            case MEMBERS -> b.setMembers(encode(e.members()));
            case EMPTY -> {}
        }
        return b.build();
    }

    public static Entry decode(Wire.Entry e) {
        return switch (e.getWhatCase()) {
            case COMMAND ->
                Entry.command(e.getIndex(), e.getTerm(), e.getCommand().toByteArray());
            case MEMBERS -> Entry.members(e.getIndex(), e.getTerm(), decode(e.getMembers()));
            case WHAT_NOT_SET -> Entry.empty(e.getIndex(), e.getTerm());
        };
    }

    public static Wire.Frame encode(Message m) {
        Wire.Frame.Builder f = Wire.Frame.newBuilder();
        if (m instanceof Message.VoteRequest v) {
            f.setVoteRequest(Wire.VoteRequest.newBuilder()
                    .setTerm(v.term())
                    .setLastIndex(v.lastIndex())
                    .setLastTerm(v.lastTerm())
                    .setPre(v.pre())
                    .setTransfer(v.transfer()));
        } else if (m instanceof Message.VoteReply v) {
            f.setVoteReply(Wire.VoteReply.newBuilder()
                    .setTerm(v.term())
                    .setGranted(v.granted())
                    .setPre(v.pre())
                    .setStranger(v.stranger()));
        } else if (m instanceof Message.Append a) {
            Wire.Append.Builder b = Wire.Append.newBuilder()
                    .setTerm(a.term())
                    .setPrevIndex(a.prevIndex())
                    .setPrevTerm(a.prevTerm())
                    .setCommit(a.commit())
                    .setSeq(a.seq());
            a.entries().forEach(e -> b.addEntry(encode(e)));
            f.setAppend(b);
        } else if (m instanceof Message.AppendReply a) {
            f.setAppendReply(Wire.AppendReply.newBuilder()
                    .setTerm(a.term())
                    .setOk(a.ok())
                    .setIndex(a.index())
                    .setSeq(a.seq()));
        } else if (m instanceof Message.Install i) {
            f.setInstall(Wire.Install.newBuilder()
                    .setTerm(i.term())
                    .setLastIndex(i.lastIndex())
                    .setLastTerm(i.lastTerm())
                    .setMembers(encode(i.members()))
                    .setOffset(i.offset())
                    .setPart(ByteString.copyFrom(i.part()))
                    .setTotal(i.total())
                    .setSeq(i.seq()));
        } else if (m instanceof Message.InstallReply i) {
            f.setInstallReply(Wire.InstallReply.newBuilder()
                    .setTerm(i.term())
                    .setLastIndex(i.lastIndex())
                    .setNext(i.next())
                    .setSeq(i.seq()));
        } else if (m instanceof Message.TimeoutNow t) {
            f.setTimeoutNow(Wire.TimeoutNow.newBuilder().setTerm(t.term()));
        }
        return f.build();
    }

    /** Null for a frame that is no message between members of the agreement. */
    public static Message decode(Wire.Frame f) {
        return switch (f.getBodyCase()) {
            case VOTE_REQUEST ->
                new Message.VoteRequest(
                        f.getVoteRequest().getTerm(),
                        f.getVoteRequest().getLastIndex(),
                        f.getVoteRequest().getLastTerm(),
                        f.getVoteRequest().getPre(),
                        f.getVoteRequest().getTransfer());
            case VOTE_REPLY ->
                new Message.VoteReply(
                        f.getVoteReply().getTerm(),
                        f.getVoteReply().getGranted(),
                        f.getVoteReply().getPre(),
                        f.getVoteReply().getStranger());
            case APPEND ->
                new Message.Append(
                        f.getAppend().getTerm(),
                        f.getAppend().getPrevIndex(),
                        f.getAppend().getPrevTerm(),
                        entries(f.getAppend().getEntryList()),
                        f.getAppend().getCommit(),
                        f.getAppend().getSeq());
            case APPEND_REPLY ->
                new Message.AppendReply(
                        f.getAppendReply().getTerm(),
                        f.getAppendReply().getOk(),
                        f.getAppendReply().getIndex(),
                        f.getAppendReply().getSeq());
            case INSTALL ->
                new Message.Install(
                        f.getInstall().getTerm(),
                        f.getInstall().getLastIndex(),
                        f.getInstall().getLastTerm(),
                        decode(f.getInstall().getMembers()),
                        f.getInstall().getOffset(),
                        f.getInstall().getPart().toByteArray(),
                        f.getInstall().getTotal(),
                        f.getInstall().getSeq());
            case INSTALL_REPLY ->
                new Message.InstallReply(
                        f.getInstallReply().getTerm(),
                        f.getInstallReply().getLastIndex(),
                        f.getInstallReply().getNext(),
                        f.getInstallReply().getSeq());
            case TIMEOUT_NOW -> new Message.TimeoutNow(f.getTimeoutNow().getTerm());
            default -> null;
        };
    }

    public static List<Entry> entries(List<Wire.Entry> list) {
        return list.stream().map(Codec::decode).toList();
    }
}
