// Package tufrepo maintains a TUF repository on disk (TUF specification 1.0.31, sections 4 and 6). It stages changed metadata,
// collects their signatures and publishes them. Sections in comments are those of the TUF specification.
//
// The folder of a repository contains metadata/ and targets/, whose files are served unchanged, staged/ with the metadata that
// wait for signatures, and the version store issued.floor.
//
// Invariant: a version number is recorded in the version store, with the digest of its content, before that content is
// published. No version number is ever published with two different contents, even if the process is killed between signing and
// publishing.
//
// Kind: state (see docs/architecture.md)
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

// Errors that the functions and methods of this package return, wrapped with the role or folder concerned.
var (
	ErrNotInitialized = errors.New("no repository in this folder: run tuf init first")
	ErrExists         = errors.New("repository already exists")
	ErrUnsigned       = errors.New("fewer valid signatures than the threshold requires")
	ErrNotStaged      = errors.New("no staged metadata for this role")
	ErrUnknownKey     = errors.New("key does not belong to the role")
)

// PieceSize is the length in bytes of a piece of a target. The digest of each piece is published beside that of the whole target.
const PieceSize = 256 << 10

// Lifetimes holds the validity period of each role's metadata, counted from their creation.
type Lifetimes struct {
	Root      time.Duration
	Targets   time.Duration // lifetime of the metadata of the top-level targets role and of delegated roles
	Snapshot  time.Duration
	Timestamp time.Duration
}

const day = 24 * time.Hour

// DefaultLifetimes are the lifetimes that Open sets. They are long for roles with offline keys and short for roles with online
// keys.
var DefaultLifetimes = Lifetimes{Root: 365 * day, Targets: 90 * day, Snapshot: 7 * day, Timestamp: day}

// Repo is a repository that is open for changes. It is not safe for concurrent use.
type Repo struct {
	Lifetimes   Lifetimes              // lifetimes of the metadata that methods create; Open sets DefaultLifetimes
	Now         func() time.Time       // returns the current time; time.Now by default
	CrashBefore func(role string) bool // for tests: Publish stops before it writes the file of a role for which CrashBefore returns true

	dir      string
	versions *monotonic.Store // version last recorded for each role, keyed by role
}

// Init creates the folders of a repository and stages its first root and targets. If consistent is true, the repository uses
// consistent snapshots, in which clients request files by version and digest (section 6.2). Init returns an error that wraps
// ErrExists if the folder already contains a repository.
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
			return nil, fmt.Errorf("role %s has %d keys, its threshold is %d", name, len(role.Keys), role.Threshold)
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

// File name of the version store of a repository, and the maximum number of roles that it can hold.
const (
	versionStoreName = "issued.floor"
	maxRoles         = 1 << 16
)

// Open opens a repository that Init created. Only one process at a time can have it open, and the caller must call Close. The
// error wraps ErrNotInitialized or comes from the version store.
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

// Close closes the repository, so that another process can open it.
func (r *Repo) Close() error { return r.versions.Close() }

// expiry returns the expiry time, in UTC and truncated to whole seconds, of metadata that are created now with the given
// lifetime.
func (r *Repo) expiry(lifetime time.Duration) time.Time {
	return r.Now().Add(lifetime).UTC().Truncate(time.Second)
}
