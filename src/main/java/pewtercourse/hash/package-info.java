/** Hashes of names that are the same at all members and in every version of the program. */
package pewtercourse.hash;
