package pewtercourse.raft.store;

/**
 * The member that a data folder belongs to, and its cluster. The files contain both names, so that a member can't use
 * the folder of another one by mistake.
 */
record FolderOwner(String cluster, String member) {}
