package pewtercourse.raft;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import pewtercourse.raft.wire.Wire;

/** Converts the records of this package to and from the protobuf messages that are sent and stored. */
public final class Codec {
    private Codec() {}

    // ---- Memberships and entries ----

    /** Encodes a membership; the members are in the order of their names. */
    public static Wire.Members encode(Membership membership) {
        Wire.Members.Builder members = Wire.Members.newBuilder();
        membership
                .all()
                .forEach((name, member) -> members.addMember(Wire.Member.newBuilder()
                        .setName(name)
                        .setAddress(member.address())
                        .setIncarnation(member.incarnation())
                        .setVoter(member.voter())));
        return members.build();
    }

    /** Decodes a membership. */
    public static Membership decode(Wire.Members members) {
        Map<String, Membership.Member> membersByName = new TreeMap<>();
        members.getMemberList()
                .forEach(member -> membersByName.put(
                        member.getName(),
                        new Membership.Member(member.getAddress(), member.getIncarnation(), member.getVoter())));
        return new Membership(membersByName);
    }

    /** Encodes an entry of any kind. */
    public static Wire.Entry encode(Entry entry) {
        Wire.Entry.Builder encoded =
                Wire.Entry.newBuilder().setIndex(entry.index()).setTerm(entry.term());
        switch (entry.kind()) {
            case COMMAND -> encoded.setCommand(ByteString.copyFrom(entry.command()));
            case MEMBERS -> encoded.setMembers(encode(entry.members()));
            case EMPTY -> {}
        }
        return encoded.build();
    }

    /** Decodes an entry of any kind. */
    public static Entry decode(Wire.Entry entry) {
        return switch (entry.getWhatCase()) {
            case COMMAND ->
                Entry.command(
                        entry.getIndex(), entry.getTerm(), entry.getCommand().toByteArray());
            case MEMBERS -> Entry.members(entry.getIndex(), entry.getTerm(), decode(entry.getMembers()));
            case WHAT_NOT_SET -> Entry.empty(entry.getIndex(), entry.getTerm());
        };
    }

    private static List<Entry> decode(List<Wire.Entry> entries) {
        return entries.stream().map(Codec::decode).toList();
    }

    // ---- Messages ----

    /** Encodes a message as the body of a frame. */
    public static Wire.Frame encode(Message message) {
        Encoder encoder = new Encoder();
        message.dispatch(encoder);
        return encoder.frame.build();
    }

    /** Decodes a frame; the result is empty if its body is not a Raft message. */
    public static Optional<Message> decode(Wire.Frame frame) {
        return Optional.ofNullable(
                switch (frame.getBodyCase()) {
                    case VOTE_REQUEST -> decode(frame.getVoteRequest());
                    case VOTE_REPLY -> decode(frame.getVoteReply());
                    case APPEND -> decode(frame.getAppend());
                    case APPEND_REPLY -> decode(frame.getAppendReply());
                    case INSTALL -> decode(frame.getInstall());
                    case INSTALL_REPLY -> decode(frame.getInstallReply());
                    case TIMEOUT_NOW ->
                        new Message.TimeoutNow(frame.getTimeoutNow().getTerm());
                    default -> null;
                });
    }

    private static Message decode(Wire.VoteRequest request) {
        return new Message.VoteRequest(
                request.getTerm(),
                request.getLastIndex(),
                request.getLastTerm(),
                request.getPre(),
                request.getTransfer());
    }

    private static Message decode(Wire.VoteReply reply) {
        return new Message.VoteReply(reply.getTerm(), reply.getGranted(), reply.getPre(), reply.getStranger());
    }

    private static Message decode(Wire.Append request) {
        return new Message.AppendRequest(
                request.getTerm(),
                request.getPrevIndex(),
                request.getPrevTerm(),
                decode(request.getEntryList()),
                request.getCommit(),
                request.getSeq());
    }

    private static Message decode(Wire.AppendReply reply) {
        return new Message.AppendReply(reply.getTerm(), reply.getOk(), reply.getIndex(), reply.getSeq());
    }

    private static Message decode(Wire.Install chunk) {
        return new Message.SnapshotChunk(
                chunk.getTerm(),
                chunk.getLastIndex(),
                chunk.getLastTerm(),
                decode(chunk.getMembers()),
                chunk.getOffset(),
                chunk.getPart().toByteArray(),
                chunk.getTotal(),
                chunk.getSeq());
    }

    private static Message decode(Wire.InstallReply reply) {
        return new Message.SnapshotReply(reply.getTerm(), reply.getLastIndex(), reply.getNext(), reply.getSeq());
    }

    /** Encodes one message into a frame. */
    private static final class Encoder implements Message.Handler {
        private final Wire.Frame.Builder frame = Wire.Frame.newBuilder();

        @Override
        public void receive(Message.VoteRequest request) {
            frame.setVoteRequest(Wire.VoteRequest.newBuilder()
                    .setTerm(request.term())
                    .setLastIndex(request.lastIndex())
                    .setLastTerm(request.lastTerm())
                    .setPre(request.preVote())
                    .setTransfer(request.transfer()));
        }

        @Override
        public void receive(Message.VoteReply reply) {
            frame.setVoteReply(Wire.VoteReply.newBuilder()
                    .setTerm(reply.term())
                    .setGranted(reply.granted())
                    .setPre(reply.preVote())
                    .setStranger(reply.nonMember()));
        }

        @Override
        public void receive(Message.AppendRequest request) {
            Wire.Append.Builder encoded = Wire.Append.newBuilder()
                    .setTerm(request.term())
                    .setPrevIndex(request.prevIndex())
                    .setPrevTerm(request.prevTerm())
                    .setCommit(request.commit())
                    .setSeq(request.sequence());
            request.entries().forEach(entry -> encoded.addEntry(encode(entry)));
            frame.setAppend(encoded);
        }

        @Override
        public void receive(Message.AppendReply reply) {
            frame.setAppendReply(Wire.AppendReply.newBuilder()
                    .setTerm(reply.term())
                    .setOk(reply.accepted())
                    .setIndex(reply.index())
                    .setSeq(reply.sequence()));
        }

        @Override
        public void receive(Message.SnapshotChunk chunk) {
            frame.setInstall(Wire.Install.newBuilder()
                    .setTerm(chunk.term())
                    .setLastIndex(chunk.lastIndex())
                    .setLastTerm(chunk.lastTerm())
                    .setMembers(encode(chunk.members()))
                    .setOffset(chunk.offset())
                    .setPart(ByteString.copyFrom(chunk.data()))
                    .setTotal(chunk.totalBytes())
                    .setSeq(chunk.sequence()));
        }

        @Override
        public void receive(Message.SnapshotReply reply) {
            frame.setInstallReply(Wire.InstallReply.newBuilder()
                    .setTerm(reply.term())
                    .setLastIndex(reply.lastIndex())
                    .setNext(reply.nextOffset())
                    .setSeq(reply.sequence()));
        }

        @Override
        public void receive(Message.TimeoutNow request) {
            frame.setTimeoutNow(Wire.TimeoutNow.newBuilder().setTerm(request.term()));
        }
    }
}
