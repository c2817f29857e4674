/** Reads, checks and completes the settings; what can't be used is refused with the key at fault. */
package pewtercourse.config;
