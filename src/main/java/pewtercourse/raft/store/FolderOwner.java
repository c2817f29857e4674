package pewtercourse.raft.store;

/** The member, and its cluster, to which a data folder belongs. The files name both, so that folders can't be mixed up. */
record FolderOwner(String cluster, String member) {}
