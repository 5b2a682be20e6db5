package director

import (
	"errors"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/tufverify"
)

// recordLog stores a log line with its level.
func (h *testDirector) recordLog(level slog.Level, message string, fields ...slog.Attr) {
	h.logMu.Lock()
	defer h.logMu.Unlock()
	h.logLines = append(h.logLines, level.String()+" "+balancer.LogLine(message, fields...))
}

// TestDirector_FileIsUnavailable checks the errors that a caller of File can tell apart. If the image repository cannot be asked
// and has not returned the target before, the error wraps ErrUnavailable and the refusal.
func TestDirector_FileIsUnavailable(t *testing.T) {
	h := newTestDirector(t)
	h.image = func(path string) (*tufverify.Target, *tufverify.RefusalError) {
		return nil, &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Repository: "image", Role: path}
	}
	_, err := h.File("s0", tufverify.File{Role: "timestamp"})
	var refusal *tufverify.RefusalError
	if !errors.Is(err, ErrUnavailable) || !errors.As(err, &refusal) || refusal.Role != "app/1" {
		t.Errorf("File while the image repository is unavailable: error %v", err)
	}
	if _, err := h.File("nobody", tufverify.File{Role: "timestamp"}); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("an unknown server: %v", err)
	}
	if _, err := h.File("s0", tufverify.File{Role: "root", Version: 99}); !errors.Is(err, ErrUnknownFile) {
		t.Errorf("a missing root: %v", err)
	}
}

// TestDirector_LogsMissingPackageOnce checks that the Director writes one log line about a package that the image repository
// does not have. The line has the fields of the image repository's refusal.
func TestDirector_LogsMissingPackageOnce(t *testing.T) {
	h := newTestDirector(t)
	h.setStage(9, "testing", 1)
	h.runDue()
	h.logMu.Lock()
	defer h.logMu.Unlock()
	waiting := slices.DeleteFunc(slices.Clone(h.logLines), func(line string) bool { return !strings.Contains(line, "package waits") })
	want := `WARN package waits for the image repository: version=9 repository="" role="" reason="not had yet" detail="not held"`
	if len(waiting) != 1 || waiting[0] != want {
		t.Errorf("log lines %q, want %q", waiting, want)
	}
}
