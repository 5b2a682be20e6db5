package recordlog

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// Errors of a file that is written to.
var (
	ErrInUse       = errors.New("in use by another process")
	ErrWriteFailed = errors.New("an earlier write failed half-way: restart to go on")
)

// File is what records are appended to; *os.File is one.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Lock keeps other processes out until the file that it returns is closed. Its error is ErrInUse, or that of making the
// file at path.
func Lock(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, ErrInUse
	}
	return lock, nil
}

// SyncDir makes the names in a folder durable, as those of files that were made or replaced.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
