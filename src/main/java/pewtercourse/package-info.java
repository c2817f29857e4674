/** The program's entry point and command line, and the start, wiring and shutdown of a director. */
package pewtercourse;
