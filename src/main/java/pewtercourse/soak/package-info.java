/** Runs director processes under faults drawn from a seed and judges, from outside, whether they keep their terms. */
package pewtercourse.soak;
