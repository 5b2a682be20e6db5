package fdtable

/*
#define _GNU_SOURCE
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

// Runs before Go's own start, when there is one thread.
__attribute__((constructor)) static void grow(void) {
	struct rlimit may;
	long most = 1024;
	if (getrlimit(RLIMIT_NOFILE, &may) == 0 && may.rlim_cur < most)
		most = may.rlim_cur;
	int fd = fcntl(0, F_DUPFD_CLOEXEC, most - 1);
	if (fd >= 0)
		close(fd);
}
*/
import "C"
