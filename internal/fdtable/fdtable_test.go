package fdtable

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// TestTable_GrownAtStart checks that the kernel's table of this process's file descriptors has its full size, although the
// process has opened only a few descriptors.
func TestTable_GrownAtStart(t *testing.T) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "FDSize:")
	size, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		t.Fatal(err)
	}
	if want := min(TargetSize, int(limit.Cur)); size < want {
		t.Errorf("the table has %d descriptors, want at least %d", size, want)
	}
}
