/*
 * Preloaded into a process, shifts its wall clock by the microseconds in the file WALL_CLOCK_SHIFT_FILE (8 bytes, native
 * order), which may change while the process runs. The monotonic clock is left alone.
 */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static const volatile int64_t *shift_micros;

__attribute__((constructor)) static void map_shift_file(void) {
    const char *path = getenv("WALL_CLOCK_SHIFT_FILE");
    int file = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED) {
        shift_micros = mapped;
    }
}

int clock_gettime(clockid_t clock, struct timespec *result) {
    int status = (int) syscall(SYS_clock_gettime, clock, result);
    if (status == 0 && shift_micros != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = result->tv_nsec + *shift_micros % 1000000 * 1000;
        result->tv_sec += *shift_micros / 1000000 + (nanos >= 1000000000) - (nanos < 0);
        result->tv_nsec = (nanos + 1000000000) % 1000000000;
    }
    return status;
}

int gettimeofday(struct timeval *restrict result, void *restrict zone) {
    (void) zone;
    struct timespec now;
    int status = clock_gettime(CLOCK_REALTIME, &now);
    result->tv_sec = now.tv_sec;
    result->tv_usec = now.tv_nsec / 1000;
    return status;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}
