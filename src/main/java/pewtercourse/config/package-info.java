/** Reads and checks the settings and fills in defaults; an error names the invalid key. */
package pewtercourse.config;
