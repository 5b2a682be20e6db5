// Package tufrepo maintains a TUF repository on disk (TUF specification 1.0.31, sections 4 and 6): what is published, what is
// staged and waits for signatures, and the steps between.
//
// The folder holds metadata/ and targets/, which are served as they are, staged/, and issued.floor, the version store.
//
// Invariant: a version number is recorded in the version store, with the digest of its content, before that is published. A
// number is never used for two contents, also when the program is killed between signing and publishing.
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

// Errors of a repository. Methods wrap them with the role or folder that they are about.
var (
	ErrNotInitialized = errors.New("no repository here: run tuf init first")
	ErrExists         = errors.New("a repository is here already")
	ErrUnsigned       = errors.New("not signed by as many keys as its threshold asks for")
	ErrNotStaged      = errors.New("nothing of this role is staged")
	ErrUnknownKey     = errors.New("the role does not know this key")
)

// PieceSize is the length in bytes of the pieces whose digests are published beside that of the whole target.
const PieceSize = 256 << 10

// Lifetimes are how long each role's metadata are valid from when they are made.
type Lifetimes struct {
	Root      time.Duration
	Targets   time.Duration // also of delegated roles
	Snapshot  time.Duration
	Timestamp time.Duration
}

const day = 24 * time.Hour

// DefaultLifetimes are the default: long for roles with offline keys, short for those with online keys.
var DefaultLifetimes = Lifetimes{Root: 365 * day, Targets: 90 * day, Snapshot: 7 * day, Timestamp: day}

// Repo is one repository that is open for changes. It is not safe for concurrent use.
type Repo struct {
	Lifetimes   Lifetimes              // of metadata that are made from now on; Lives by default
	Now         func() time.Time       // time.Now by default
	CrashBefore func(role string) bool // in tests: Publish stops before it writes the file of a role

	dir      string
	versions *monotonic.Store // by role
}

// Init makes the folders of a repository and stages its first root and targets. consistent: clients ask for files by version and
// digest (section 6.2). Its error wraps ErrExists where there is a repository.
func Init(dir string, roles map[string]Role, consistent bool, lifetimes Lifetimes) (*Repo, error) {
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
	r.Lifetimes = lifetimes
	root := metadata.Root(r.expiry(lifetimes.Root))
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
	targets := metadata.Targets(r.expiry(lifetimes.Targets))
	return r, stageMetadata(r, metadata.TARGETS, targets)
}

// The version store of a repository.
const (
	versionStoreName = "issued.floor"
	maxRoles         = 1 << 16
)

// Open opens a repository that Init made, for one process at a time; the caller must call Close. Its error wraps
// ErrNotInitialized or is of the version store.
func Open(dir string) (*Repo, error) {
	if _, err := os.Stat(filepath.Join(dir, "metadata")); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, ErrNotInitialized)
	}
	path := filepath.Join(dir, versionStoreName)
	versions, err := monotonic.Open([]string{path}, maxRoles, func(slog.Level, string, ...slog.Attr) {})
	if err != nil {
		return nil, err
	}
	return &Repo{
		Lifetimes:   DefaultLifetimes,
		Now:         time.Now,
		CrashBefore: func(string) bool { return false },
		dir:         dir,
		versions:    versions,
	}, nil
}

// Close lets another process open the repository.
func (r *Repo) Close() error { return r.versions.Close() }

// expiry is when metadata of a lifetime expire that are made now, in whole seconds of UTC.
func (r *Repo) expiry(lifetime time.Duration) time.Time {
	return r.Now().Add(lifetime).UTC().Truncate(time.Second)
}
