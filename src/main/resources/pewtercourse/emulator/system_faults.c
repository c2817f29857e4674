/*
 * Preloaded into a process, injects faults into its clock and system calls. The faults are read from the file SYSTEM_FAULTS,
 * an array of 64-bit numbers in the order of enum slot, which another process may change at any time. A call fails while the
 * number of its failures is positive; each failure subtracts one.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum slot {
    WALL_CLOCK_SHIFT_MICROS,
    ACCEPT_FAILURES,
    ACCEPT_ERRNO,
    CONNECT_FAILURES,
    CONNECT_ERRNO,
    SOCKET_FAILURES,
    SOCKET_ERRNO,
    INTERRUPTED_WAITS,
    SHORT_TRANSFERS,
    DISK_FAILURES,
    DISK_ERRNO,
    SLOT_COUNT
};

#define SHORT_TRANSFER_BYTES 7

static int64_t *faults;

__attribute__((constructor)) static void map_faults(void) {
    const char *path = getenv("SYSTEM_FAULTS");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, SLOT_COUNT * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    syscall(SYS_close, file);
    if (mapped != MAP_FAILED) {
        faults = mapped;
    }
}

static int takes_fault(enum slot failures) {
    if (faults == NULL || __atomic_load_n(&faults[failures], __ATOMIC_RELAXED) <= 0) {
        return 0;
    }
    return __atomic_fetch_sub(&faults[failures], 1, __ATOMIC_RELAXED) > 0;
}

static int fails(enum slot failures, enum slot error) {
    if (!takes_fault(failures)) {
        return 0;
    }
    errno = (int) faults[error];
    return 1;
}

static void *next_symbol(void **cached, const char *name) {
    if (*cached == NULL) {
        *cached = dlsym(RTLD_NEXT, name);
    }
    return *cached;
}

#define NEXT(name) \
    static void *cached; \
    __typeof__(name) *next = (__typeof__(name) *) next_symbol(&cached, #name)

static int is_socket(int descriptor) {
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_regular_file(int descriptor) {
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

static size_t shortened(int descriptor, size_t length) {
    return length > SHORT_TRANSFER_BYTES && faults != NULL && faults[SHORT_TRANSFERS] > 0 && is_socket(descriptor)
                    && takes_fault(SHORT_TRANSFERS)
            ? SHORT_TRANSFER_BYTES
            : length;
}

static int disk_fails(int descriptor) {
    return faults != NULL && faults[DISK_FAILURES] > 0 && is_regular_file(descriptor)
            && fails(DISK_FAILURES, DISK_ERRNO);
}

int clock_gettime(clockid_t clock, struct timespec *result) {
    int status = (int) syscall(SYS_clock_gettime, clock, result);
    if (status == 0 && faults != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t shift = faults[WALL_CLOCK_SHIFT_MICROS];
        int64_t nanos = result->tv_nsec + shift % 1000000 * 1000;
        result->tv_sec += shift / 1000000 + (nanos >= 1000000000) - (nanos < 0);
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

int accept(int listener, struct sockaddr *restrict address, socklen_t *restrict length) {
    NEXT(accept);
    return fails(ACCEPT_FAILURES, ACCEPT_ERRNO) ? -1 : next(listener, address, length);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    NEXT(connect);
    return fails(CONNECT_FAILURES, CONNECT_ERRNO) ? -1 : next(descriptor, address, length);
}

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    return fails(SOCKET_FAILURES, SOCKET_ERRNO) ? -1 : next(domain, type, protocol);
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    NEXT(epoll_wait);
    if (takes_fault(INTERRUPTED_WAITS)) {
        errno = EINTR;
        return -1;
    }
    return next(epoll, events, max_events, timeout);
}

ssize_t read(int descriptor, void *buffer, size_t length) {
    NEXT(read);
    return next(descriptor, buffer, shortened(descriptor, length));
}

ssize_t write(int descriptor, const void *buffer, size_t length) {
    NEXT(write);
    return disk_fails(descriptor) ? -1 : next(descriptor, buffer, shortened(descriptor, length));
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    NEXT(writev);
    size_t length = count > 0 ? parts[0].iov_len : 0;
    if (disk_fails(descriptor)) {
        return -1;
    }
    if (shortened(descriptor, length) < length) {
        struct iovec part = {parts[0].iov_base, SHORT_TRANSFER_BYTES};
        return next(descriptor, &part, 1);
    }
    return next(descriptor, parts, count);
}

ssize_t pwrite64(int descriptor, const void *buffer, size_t length, off64_t offset) {
    NEXT(pwrite64);
    return disk_fails(descriptor) ? -1 : next(descriptor, buffer, length, offset);
}

int fsync(int descriptor) {
    NEXT(fsync);
    return disk_fails(descriptor) ? -1 : next(descriptor);
}

int fdatasync(int descriptor) {
    NEXT(fdatasync);
    return disk_fails(descriptor) ? -1 : next(descriptor);
}
