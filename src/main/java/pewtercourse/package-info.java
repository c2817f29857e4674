/** The program: its command line, the start and end of a director, and the wiring of its parts. */
package pewtercourse;
