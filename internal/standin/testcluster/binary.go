package testcluster

import (
	"crypto/sha256"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

var binaries struct {
	sync.Mutex
	built map[string]string
}

// Binary returns the path of one of the project's programs. It builds the program once for each run of a test binary, with -race
// if the test binary was built with -race. Each checkout of the repository has its own directory for the built programs. The
// directory is kept between runs, so that unchanged programs are not linked again.
func Binary(t Test, name string) string {
	t.Helper()
	binaries.Lock()
	defer binaries.Unlock()
	if path := binaries.built[name]; path != "" {
		return path
	}
	path, err := build(name)
	if err != nil {
		t.Fatalf("%v", err)
	}
	if binaries.built == nil {
		binaries.built = map[string]string{}
	}
	binaries.built[name] = path
	return path
}

func build(name string) (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", err
	}
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("silvercove-crew-%d-%x", os.Getuid(), sha256.Sum256([]byte(root)))[:64])
	args := []string{"build"}
	if raceDetector {
		dir += "-race"
		args = append(args, "-race")
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	lock, err := os.Create(filepath.Join(dir, "lock"))
	if err != nil {
		return "", err
	}
	defer func() { _ = lock.Close() }()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	cmd := exec.Command("go", append(args, "-o", path, "./cmd/"+name)...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("testcluster: go build %s: %w\n%s", name, err, out)
	}
	return path, nil
}
