// Package tufrepo owns a TUF repository on disk as its keepers work on it: what is published, what is staged
// and waits for signatures, and the steps between. Each version number is reserved in a floor of
// the repository's own before anything signed with it can be seen, so that a number is never given to
// two contents, also when the program is killed between signing and publishing.
//
// The folder holds metadata/ and targets/, which are served as they are, staged/, and issued.floor.
//
// Kind: state
package tufrepo

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/monotonic"
)

// Errors of a repository.
var (
	ErrNotInitialized = errors.New("no repository here: run tuf init first")
	ErrExists         = errors.New("a repository is here already")
	ErrUnsigned       = errors.New("not signed by as many keys as its threshold asks for")
	ErrNotStaged      = errors.New("nothing of this role is staged")
	ErrKey            = errors.New("the role does not know this key")
)

// PieceSize is how many bytes of a target each sum is of that is published beside the whole's.
const PieceSize = 256 << 10

// Lifetimes is how long each role's metadata last from their signing.
type Lifetimes struct{ Root, Targets, Snapshot, Timestamp time.Duration }

// Lives are what TUF's own repositories commonly use: long for offline keys, short for online ones.
var Lives = Lifetimes{365 * 24 * time.Hour, 90 * 24 * time.Hour, 7 * 24 * time.Hour, 24 * time.Hour}

// Repo is one repository that is open for work.
type Repo struct {
	dir         string
	versions    *monotonic.Store
	Life        Lifetimes
	Now         func() time.Time
	CrashBefore func(step string) bool // in tests: the program dies before this step
}

// Init makes the folders of a repository and stages its first root.
func Init(dir string, roles map[string]Role, consistent bool, life Lifetimes) (*Repo, error) {
	if _, err := os.Stat(filepath.Join(dir, "metadata")); err == nil {
		return nil, fmt.Errorf("%s: %w", dir, ErrExists)
	}
	for _, sub := range []string{"metadata", "targets", "staged"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, err
		}
	}
	r, err := Open(dir)
	if err != nil {
		return nil, err
	}
	r.Life = life
	root := metadata.Root(r.expiry(life.Root))
	root.Signed.ConsistentSnapshot = consistent
	for _, name := range metadata.TOP_LEVEL_ROLE_NAMES {
		role := roles[name]
		if role.Threshold < 1 || len(role.Keys) < role.Threshold {
			_ = r.Close()
			return nil, fmt.Errorf("role %s: %d keys for a threshold of %d", name, len(role.Keys), role.Threshold)
		}
		for _, k := range role.Keys {
			if err := root.Signed.AddKey(k, name); err != nil {
				_ = r.Close()
				return nil, err
			}
		}
		root.Signed.Roles[name].Threshold = role.Threshold
	}
	if err := stageMetadata(r, metadata.ROOT, root); err != nil {
		return nil, err
	}
	targets := metadata.Targets(r.expiry(life.Targets))
	return r, stageMetadata(r, metadata.TARGETS, targets)
}

// Open opens a repository that Init made. One process at a time may have it open.
func Open(dir string) (*Repo, error) {
	if _, err := os.Stat(filepath.Join(dir, "metadata")); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, ErrNotInitialized)
	}
	f, err := monotonic.Open([]string{filepath.Join(dir, "issued.floor")}, 1<<16, func(slog.Level, string, ...slog.Attr) {})
	if err != nil {
		return nil, err
	}
	return &Repo{dir: dir, versions: f, Life: Lives, Now: time.Now, CrashBefore: func(string) bool { return false }}, nil
}

// Close lets others open it.
func (r *Repo) Close() error { return r.versions.Close() }

func (r *Repo) expiry(life time.Duration) time.Time {
	return r.Now().Add(life).UTC().Truncate(time.Second)
}
