/** Hashes of names that all members compute alike, in every version of the program. */
package pewtercourse.hash;
