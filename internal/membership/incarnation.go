package membership

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"
)

// incarnationFile is the file in a process's data folder that holds the incarnation of its last start.
const incarnationFile = "run"

// ErrDamagedIncarnation is wrapped by the error of NextIncarnation if the stored incarnation of the last start cannot
// be read.
var ErrDamagedIncarnation = errors.New("damaged incarnation file: it holds no number; if it is removed, this start counts as one without stored data")

// NextIncarnation returns the incarnation of a process's start: the clock's Unix time in milliseconds, but at least one
// more than the incarnation that the folder holds. startedEmpty reports whether the folder holds no incarnation, which
// means that the process starts without stored data. If folder is "", the clock alone gives the incarnation, and
// startedEmpty is true.
func NextIncarnation(folder string, now time.Time) (incarnation uint64, startedEmpty bool, err error) {
	incarnation = uint64(max(1, now.UnixMilli()))
	if folder == "" {
		return incarnation, true, nil
	}
	path := filepath.Join(folder, incarnationFile)
	last, err := readIncarnation(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		startedEmpty = true
	case err != nil:
		return 0, false, err
	default:
		incarnation = max(incarnation, last+1)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return 0, false, err
	}
	text := strconv.FormatUint(incarnation, 10) + "\n"
	return incarnation, startedEmpty, renameio.WriteFile(path, []byte(text), 0o600)
}

func readIncarnation(path string) (uint64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, ErrDamagedIncarnation)
	}
	return last, nil
}
