/* Fault injection into system calls, for rehearsals and soak tests: preloaded into a limiter (LD_PRELOAD).
 *
 * The file that BASALTPOINT_FAULTS names is mapped and read at each call; table.py writes it and describes its
 * layout. Without the variable no call is changed. Faults apply only to IPv4 stream sockets, to regular files
 * other than the standard streams, to epoll and to the wall clock.
 *
 * Sources: accept(2), connect(2), socket(2), recv(2), send(2), fsync(2), clock_gettime(2) of the Linux manual.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT = 1, CONNECT, SOCKET, READ, WRITE, POLL, FILE_WRITE, FILE_SYNC, FILE_OPEN };
enum effect { FAIL = 1, SHORT, STALL };
enum side { ANY = 0, ACCEPTED, CONNECTED };

struct fault {
    uint32_t call, effect, side;
    int32_t error;  /* errno of FAIL */
    uint32_t part;  /* probability in 65,536ths; 0: the entry is free */
    uint32_t value; /* bytes of SHORT, microseconds of STALL */
};
#define FAULTS 32
struct table {
    uint32_t magic, version;
    int64_t wall_offset_ns;
    struct fault faults[FAULTS];
};
#define MAGIC 0x42504654u
#define DESCRIPTORS 65536
#define STALL_APART_S 2

static const volatile struct table *table;
static uint64_t chance = 0x9e3779b97f4a7c15ull;
static uint8_t sides[DESCRIPTORS];

__attribute__((constructor)) static void map_table(void) {
    const char *path = getenv("BASALTPOINT_FAULTS");
    int descriptor = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return;
    void *at = mmap(NULL, sizeof(struct table), PROT_READ, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (at != MAP_FAILED && ((struct table *)at)->magic == MAGIC)
        table = at;
    chance ^= (uint64_t)getpid() * 0x2545f4914f6cdd1dull;
}

static void *lookup(const char *name) { return dlsym(RTLD_NEXT, name); }
#define NEXT(name)                                                                                             \
    static __typeof__(&name) real;                                                                             \
    if (!real)                                                                                                 \
        real = (__typeof__(&name))lookup(#name)

static uint32_t draw(void) { /* xorshift64; races between threads only affect the randomness */
    chance ^= chance << 13;
    chance ^= chance >> 7;
    chance ^= chance << 17;
    return (uint32_t)(chance >> 24) & 0xffff;
}

static int is_stream(int descriptor) {
    int domain = 0, type = 0;
    socklen_t size = sizeof domain;
    if (getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size) || domain != AF_INET)
        return 0;
    size = sizeof type;
    return !getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) && type == SOCK_STREAM;
}

static int is_file(int descriptor) {
    struct stat found;
    return descriptor > 2 && !fstat(descriptor, &found) && S_ISREG(found.st_mode);
}

static int fits(const volatile struct fault *fault, enum call call, int descriptor) {
    if (fault->call != call || !fault->part || draw() >= fault->part)
        return 0;
    if (fault->side == ANY)
        return 1;
    return descriptor >= 0 && descriptor < DESCRIPTORS && sides[descriptor] == fault->side;
}

/* Sleeps, but not twice within STALL_APART_S: two stalls in a row could exceed the longest permitted stall. */
static void stall(uint32_t microseconds) {
    static time_t last;
    struct timespec now, wait = {0, (long)microseconds * 1000};
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    if (now.tv_sec - last < STALL_APART_S)
        return;
    last = now.tv_sec;
    nanosleep(&wait, NULL);
}

/* Returns the errno with which this call fails, or 0. SHORT lowers `*most`; STALL sleeps here. */
static int struck(enum call call, int descriptor, size_t *most) {
    if (!table)
        return 0;
    int saved = errno, relevant = 0, error = 0;
    for (int at = 0; at < FAULTS && !error; at++) {
        const volatile struct fault *fault = &table->faults[at];
        if (!fits(fault, call, descriptor))
            continue;
        if (!relevant) { /* checked last, because it costs system calls */
            if ((call == READ || call == WRITE) && !is_stream(descriptor))
                break;
            if ((call == FILE_WRITE || call == FILE_SYNC) && !is_file(descriptor))
                break;
            relevant = 1;
        }
        if (fault->effect == FAIL)
            error = fault->error;
        else if (fault->effect == STALL)
            stall(fault->value);
        else if (most && *most > fault->value)
            *most = fault->value;
    }
    errno = saved;
    return error;
}

/* Shuts a failed connection down: it stays failed, and the peer sees its end, as after a reset or time-out. */
static void ends(int descriptor, int error) {
    if (error != EINTR && error != EAGAIN && error != ENOBUFS && error != ENOMEM)
        shutdown(descriptor, SHUT_RDWR);
}

static void remember(int descriptor, enum side side) {
    if (descriptor >= 0 && descriptor < DESCRIPTORS)
        sides[descriptor] = side;
}

#define FAIL_WITH(error)                                                                                       \
    do {                                                                                                       \
        errno = (error);                                                                                       \
        return -1;                                                                                             \
    } while (0)

/* --- Connections --------------------------------------------------------------------------------------- */
int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    NEXT(accept4);
    int error = struck(ACCEPT, -1, NULL);
    if (error && is_stream(descriptor))
        FAIL_WITH(error);
    int made = real(descriptor, address, length, flags);
    remember(made, ACCEPTED);
    return made;
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length) {
    return accept4(descriptor, address, length, 0);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    NEXT(connect);
    if (address->sa_family == AF_INET) {
        remember(descriptor, CONNECTED);
        int error = struck(CONNECT, descriptor, NULL);
        if (error)
            FAIL_WITH(error);
    }
    return real(descriptor, address, length);
}

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    int error = domain == AF_INET ? struck(SOCKET, -1, NULL) : 0;
    if (error)
        FAIL_WITH(error);
    int made = real(domain, type, protocol);
    remember(made, ANY);
    return made;
}

/* --- Reads and writes ---------------------------------------------------------------------------------- */
ssize_t recv(int descriptor, void *to, size_t most, int flags) {
    NEXT(recv);
    int error = struck(READ, descriptor, &most);
    if (error) {
        ends(descriptor, error);
        FAIL_WITH(error);
    }
    return real(descriptor, to, most, flags);
}

ssize_t read(int descriptor, void *to, size_t most) {
    NEXT(read);
    int error = struck(READ, descriptor, &most);
    if (error) {
        ends(descriptor, error);
        FAIL_WITH(error);
    }
    return real(descriptor, to, most);
}

static int write_struck(int descriptor, size_t *most) {
    int error = struck(WRITE, descriptor, most);
    if (error)
        ends(descriptor, error);
    return error ? error : struck(FILE_WRITE, descriptor, most);
}

ssize_t write(int descriptor, const void *from, size_t most) {
    NEXT(write);
    int error = write_struck(descriptor, &most);
    if (error)
        FAIL_WITH(error);
    return real(descriptor, from, most);
}

ssize_t send(int descriptor, const void *from, size_t most, int flags) {
    NEXT(send);
    int error = write_struck(descriptor, &most);
    if (error)
        FAIL_WITH(error);
    return real(descriptor, from, most, flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    NEXT(writev);
    size_t most = SIZE_MAX;
    int error = write_struck(descriptor, &most);
    if (error)
        FAIL_WITH(error);
    if (most != SIZE_MAX && count > 0 && parts[0].iov_len)
        return write(descriptor, parts[0].iov_base, parts[0].iov_len < most ? parts[0].iov_len : most);
    return real(descriptor, parts, count);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
    NEXT(sendmsg);
    size_t most = SIZE_MAX;
    int error = struck(WRITE, descriptor, &most);
    if (error) {
        ends(descriptor, error);
        FAIL_WITH(error);
    }
    if (most != SIZE_MAX && message->msg_iovlen > 0 && message->msg_iov[0].iov_len > most) {
        struct iovec first = {message->msg_iov[0].iov_base, most};
        struct msghdr shorter = *message;
        shorter.msg_iov = &first;
        shorter.msg_iovlen = 1;
        return real(descriptor, &shorter, flags);
    }
    return real(descriptor, message, flags);
}

int epoll_pwait(int descriptor, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    NEXT(epoll_pwait);
    int error = struck(POLL, -1, NULL);
    if (error)
        FAIL_WITH(error);
    return real(descriptor, events, most, timeout, mask);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    return epoll_pwait(descriptor, events, most, timeout, NULL);
}

/* --- Files --------------------------------------------------------------------------------------------- */
int fsync(int descriptor) {
    NEXT(fsync);
    int error = struck(FILE_SYNC, descriptor, NULL);
    if (error)
        FAIL_WITH(error);
    return real(descriptor);
}

int fdatasync(int descriptor) {
    NEXT(fdatasync);
    int error = struck(FILE_SYNC, descriptor, NULL);
    if (error)
        FAIL_WITH(error);
    return real(descriptor);
}

/* --- The wall clock ------------------------------------------------------------------------------------ */
static int64_t wall_offset(void) { return table ? table->wall_offset_ns : 0; }

int clock_gettime(clockid_t clock, struct timespec *now) {
    NEXT(clock_gettime);
    int result = real(clock, now);
    if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t told = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + wall_offset();
        now->tv_sec = told / 1000000000;
        now->tv_nsec = told % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    (void)zone;
    struct timespec exact;
    int result = clock_gettime(CLOCK_REALTIME, &exact);
    now->tv_sec = exact.tv_sec;
    now->tv_usec = exact.tv_nsec / 1000;
    return result;
}

time_t time(time_t *told) {
    struct timespec exact;
    clock_gettime(CLOCK_REALTIME, &exact);
    if (told)
        *told = exact.tv_sec;
    return exact.tv_sec;
}
