package fdtable

/*
#define _GNU_SOURCE
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

// grow_table runs before the Go runtime starts. The process then has a single thread, so that the kernel grows the
// table without waiting for other processors (see the package comment). Duplicating descriptor 0 to the highest number
// makes the kernel grow the table; the duplicate is closed at once.
__attribute__((constructor)) static void grow_table(void) {
	struct rlimit limit;
	long size = 1024; // must equal TargetSize
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < size)
		size = limit.rlim_cur;
	int fd = fcntl(0, F_DUPFD_CLOEXEC, size - 1);
	if (fd >= 0)
		close(fd);
}
*/
import "C"
