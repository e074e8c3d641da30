/* Makes system calls of one process fail, or transfer fewer bytes than requested, as a shared file specifies.
 *
 * The library is loaded with LD_PRELOAD. GARNETUSHER_FAULTS is the path of the file; garnetusher/lab/syscall_faults.py
 * writes it with the layout of `struct fault_table`. Without this variable, and in programs other than Python, the
 * library changes nothing. A call that fails is not passed to the kernel: only the caller sees the error. Faults do not
 * apply to sockets of families other than AF_INET, so the event loop can still wake itself up through its socket pair.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, BIND, LISTEN, RECV, SEND, EPOLL_WAIT, EPOLL_CTL, EPOLL_CREATE, SETSOCKOPT,
            GETSOCKOPT, SHUTDOWN, POLL, OPEN, WRITE, CALLS };

#define MAX_FAULTS 64 /* as in syscall_faults.py */
#define SHORT_TRANSFER (-1) /* used instead of an errno: the call transfers fewer bytes than requested */

struct fault {
    int32_t call;  /* enum call */
    int32_t error; /* errno or SHORT_TRANSFER */
    uint32_t per_mille; /* probability that a call fails while the fault lasts, in thousandths */
    int32_t remaining;  /* number of calls that can still fail; negative: no limit */
    int64_t from_ns, until_ns; /* start and end on the monotonic clock */
};

struct fault_table {
    uint32_t seed, used;          /* seed of the random numbers; number of faults in the table */
    int64_t wall_clock_offset_ns; /* added to the wall clock */
    int64_t hits[CALLS];          /* calls that failed or transferred fewer bytes */
    int64_t calls[CALLS];         /* calls made */
    struct fault faults[MAX_FAULTS];
};

static struct fault_table *table; /* NULL: the library changes nothing */
static uint32_t random_state;
static int (*real_clock_gettime)(clockid_t, struct timespec *);

__attribute__((constructor)) static void map_fault_table(void) {
    const char *path = getenv("GARNETUSHER_FAULTS");
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    if (path == NULL || strncmp(program_invocation_short_name, "python", 6) != 0)
        return;
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct fault_table), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped == MAP_FAILED)
        return;
    table = mapped;
    random_state = table->seed | 1; /* xorshift needs a state other than 0 */
}

static uint32_t next_random(void) { /* xorshift32: Marsaglia, "Xorshift RNGs", 2003 */
    random_state ^= random_state << 13;
    random_state ^= random_state >> 17;
    random_state ^= random_state << 5;
    return random_state;
}

/* Counts the call; returns the errno with which it fails, SHORT_TRANSFER, or 0 if the call is not changed. */
static int count_call_and_draw_error(enum call call) {
    if (table == NULL)
        return 0;
    __atomic_fetch_add(&table->calls[call], 1, __ATOMIC_RELAXED);
    uint32_t used = __atomic_load_n(&table->used, __ATOMIC_ACQUIRE);
    if (used == 0)
        return 0;
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    int64_t now_ns = now.tv_sec * 1000000000LL + now.tv_nsec;
    for (uint32_t i = 0; i < used && i < MAX_FAULTS; i++) {
        struct fault *fault = &table->faults[i];
        if (fault->call != (int32_t)call || now_ns < fault->from_ns || now_ns >= fault->until_ns ||
            fault->remaining == 0)
            continue;
        if (next_random() % 1000 >= fault->per_mille)
            continue;
        if (fault->remaining > 0)
            fault->remaining--;
        __atomic_fetch_add(&table->hits[call], 1, __ATOMIC_RELAXED);
        return fault->error;
    }
    return 0;
}

/* Faults apply to sockets of AF_INET only, of TCP and of UDP. */
static int is_inet_socket(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    static int (*real)(int, int, int, void *, socklen_t *);
    if (real == NULL)
        real = dlsym(RTLD_NEXT, "getsockopt");
    return table != NULL && real(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}

/* Declares `real`, a pointer to the C library's function of this name. */
#define FIND_REAL(result, name, ...) \
    static result (*real)(__VA_ARGS__); \
    if (real == NULL) \
        real = dlsym(RTLD_NEXT, name)

/* Returns an error from the enclosing function if a fault makes this call fail. SHORT_TRANSFER has no effect here. */
#define FAIL_IF(condition, call) \
    do { \
        int error_ = (condition) ? count_call_and_draw_error(call) : 0; \
        if (error_ > 0) { \
            errno = error_; \
            return -1; \
        } \
    } while (0)

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    FIND_REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    FAIL_IF(is_inet_socket(fd), ACCEPT);
    return real(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) { return accept4(fd, address, size, 0); }

int socket(int domain, int type, int protocol) {
    FIND_REAL(int, "socket", int, int, int);
    FAIL_IF(domain == AF_INET, SOCKET);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    FIND_REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    FAIL_IF(is_inet_socket(fd), CONNECT);
    return real(fd, address, size);
}

int bind(int fd, const struct sockaddr *address, socklen_t size) {
    FIND_REAL(int, "bind", int, const struct sockaddr *, socklen_t);
    FAIL_IF(is_inet_socket(fd), BIND);
    return real(fd, address, size);
}

int listen(int fd, int backlog) {
    FIND_REAL(int, "listen", int, int);
    FAIL_IF(is_inet_socket(fd), LISTEN);
    return real(fd, backlog);
}

int shutdown(int fd, int how) {
    FIND_REAL(int, "shutdown", int, int);
    FAIL_IF(is_inet_socket(fd), SHUTDOWN);
    return real(fd, how);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    FIND_REAL(int, "setsockopt", int, int, int, const void *, socklen_t);
    FAIL_IF(is_inet_socket(fd), SETSOCKOPT);
    return real(fd, level, name, value, size);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *size) {
    FIND_REAL(int, "getsockopt", int, int, int, void *, socklen_t *);
    FAIL_IF(is_inet_socket(fd), GETSOCKOPT);
    return real(fd, level, name, value, size);
}

/* Returns how many of `size` bytes the call may transfer; returns -1 and sets errno if the call fails. */
static ssize_t transfer_limit(enum call call, int fd, size_t size) {
    int error = is_inet_socket(fd) ? count_call_and_draw_error(call) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return error == SHORT_TRANSFER && size > 1 ? 1 + (ssize_t)(next_random() % (size - 1)) : (ssize_t)size;
}

ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    FIND_REAL(ssize_t, "recv", int, void *, size_t, int);
    ssize_t limit = transfer_limit(RECV, fd, size);
    return limit < 0 ? -1 : real(fd, buffer, (size_t)limit, flags);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    FIND_REAL(ssize_t, "send", int, const void *, size_t, int);
    ssize_t limit = transfer_limit(SEND, fd, size);
    return limit < 0 ? -1 : real(fd, buffer, (size_t)limit, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    FIND_REAL(ssize_t, "sendmsg", int, const struct msghdr *, int);
    if (transfer_limit(SEND, fd, 1) < 0) /* a call with several buffers may fail, but is never shortened */
        return -1;
    return real(fd, message, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    FIND_REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    FAIL_IF(1, EPOLL_WAIT);
    return real(fd, events, max_events, timeout);
}

int epoll_ctl(int fd, int operation, int other, struct epoll_event *event) {
    FIND_REAL(int, "epoll_ctl", int, int, int, struct epoll_event *);
    FAIL_IF(operation != EPOLL_CTL_DEL && is_inet_socket(other), EPOLL_CTL);
    return real(fd, operation, other, event);
}

int epoll_create1(int flags) {
    FIND_REAL(int, "epoll_create1", int);
    FAIL_IF(1, EPOLL_CREATE);
    return real(flags);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    FIND_REAL(int, "poll", struct pollfd *, nfds_t, int);
    FAIL_IF(1, POLL);
    return real(fds, count, timeout);
}

/* Faults of `open` apply only to the configuration, a file whose name ends in .json. */
static int is_configuration(const char *path) {
    size_t size = strlen(path);
    return size > 5 && strcmp(path + size - 5, ".json") == 0;
}

int open64(const char *path, int flags, ...) {
    FIND_REAL(int, "open64", const char *, int, ...);
    va_list rest;
    va_start(rest, flags);
    int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, int) : 0;
    va_end(rest);
    FAIL_IF(is_configuration(path), OPEN);
    return real(path, flags, mode);
}

int open(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, int) : 0;
    va_end(rest);
    return open64(path, flags, mode);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    FIND_REAL(ssize_t, "write", int, const void *, size_t);
    FAIL_IF(fd == STDERR_FILENO, WRITE); /* the log */
    return real(fd, buffer, size);
}

/* The wall clock */

int clock_gettime(clockid_t clock, struct timespec *now) {
    if (real_clock_gettime == NULL)
        real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    int result = real_clock_gettime(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && table != NULL) {
        int64_t ns = now->tv_sec * 1000000000LL + now->tv_nsec
                     + __atomic_load_n(&table->wall_clock_offset_ns, __ATOMIC_RELAXED);
        now->tv_sec = ns / 1000000000LL;
        now->tv_nsec = ns % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *now, void *zone) {
    struct timespec exact;
    (void)zone;
    int result = clock_gettime(CLOCK_REALTIME, &exact);
    now->tv_sec = exact.tv_sec;
    now->tv_usec = exact.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL)
        *result = now.tv_sec;
    return now.tv_sec;
}
