/**
 * Agreement on a replicated log by Raft. Pure: messages, what was saved and the time go in; messages and what is to be
 * saved come out.
 */
package pewtercourse.raft;
