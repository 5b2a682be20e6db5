// Package repository simulates the peers of the metadata service: a publisher of a TUF repository, mirrors that serve
// it with scripted faults, and client servers that update from it. It is written from the TUF specification (1.0.31)
// and the Uptane Standard (2.1). The client servers verify with the client workflow of the public TUF library. The
// product does not use that workflow, so a fault in the product's own implementation is noticed.
package repository

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufrepo"
)

// Clock is a clock that tests set.
type Clock struct {
	mu   sync.Mutex
	from time.Time
	at   time.Time
	runs bool
}

// NewClock returns a clock that starts at a fixed time. It advances by itself only if runs is true.
func NewClock(runs bool) *Clock {
	return &Clock{at: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), from: time.Now(), runs: runs}
}

// Now returns the clock's time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs {
		return c.at.Add(time.Since(c.from))
	}
	return c.at
}

// Jump moves the clock by a duration, which may be negative.
func (c *Clock) Jump(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(by)
}

// Set sets the clock to a time.
func (c *Clock) Set(to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at, c.from = to, time.Now()
}

// FileSet is the set of files of one publication: metadata files by file name, and targets by their stored path.
type FileSet struct {
	Files   map[string][]byte
	Targets map[string][]byte
}

// Publisher publishes one repository and keeps every set that it has published.
type Publisher struct {
	Dir     string
	Repo    *tufrepo.Repo
	Clock   *Clock
	Keys    map[string][]*keys.Key // keys by role
	mu      sync.Mutex
	history []FileSet
	content map[string][]byte // all targets that were ever staged, by their stored path
}

// NewPublisher creates a repository in a directory and publishes it. Root and targets have three keys each, of which
// two must sign. Snapshot and timestamp have one key each. A zero life means tufrepo.DefaultLifetimes.
func NewPublisher(dir string, clock *Clock, life tufrepo.Lifetimes, consistent bool) (*Publisher, error) {
	k := &Publisher{Dir: dir, Clock: clock, Keys: map[string][]*keys.Key{}, content: map[string][]byte{}}
	roles := map[string]tufrepo.Role{}
	for role, n := range map[string]int{"root": 3, "targets": 3, "snapshot": 1, "timestamp": 1} {
		is := tufrepo.Role{Threshold: (n + 1) / 2}
		for i := range n {
			one, err := keys.Generate([]string{"ed25519", "ecdsa"}[i%2])
			if err != nil {
				return nil, err
			}
			k.Keys[role] = append(k.Keys[role], one)
			is.Keys = append(is.Keys, one.Public)
		}
		roles[role] = is
	}
	if life == (tufrepo.Lifetimes{}) {
		life = tufrepo.DefaultLifetimes
	}
	if _, err := os.Stat(filepath.Join(dir, "metadata")); err == nil {
		return nil, tufrepo.ErrExists
	}
	r, err := tufrepo.Init(dir, roles, consistent, life)
	if err != nil {
		return nil, err
	}
	// Init sets the first expiry times by the real clock. Renew sets them by the test's clock.
	r.Now, k.Repo = clock.Now, r
	for _, role := range []string{"root", "targets"} {
		if err := r.Renew(role); err != nil {
			return nil, err
		}
	}
	return k, k.Publish("root", "targets")
}

// Sign signs a role's staged file with as many of its keys as the threshold requires.
func (k *Publisher) Sign(role string) error {
	need := (len(k.Keys[role]) + 1) / 2
	for _, one := range k.Keys[role][:need] {
		if err := k.Repo.Sign(role, one); err != nil {
			return err
		}
	}
	return nil
}

// Publish signs the named staged roles, and publishes.
func (k *Publisher) Publish(staged ...string) error {
	for _, role := range staged {
		if err := k.Sign(role); err != nil {
			return err
		}
	}
	if err := k.Repo.Publish(append(k.Keys["snapshot"], k.Keys["timestamp"]...)); err != nil {
		return err
	}
	return k.remember()
}

func (k *Publisher) remember() error {
	files, _, err := tufrepo.PublishedFiles(k.Dir)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	content := map[string][]byte{}
	for name, text := range k.content {
		content[name] = text
	}
	k.history = append(k.history, FileSet{files, content})
	return nil
}

// Add stages and publishes a package.
func (k *Publisher) Add(path string, build uint16, content []byte, kinds ...string) error {
	if err := k.Stage(path, build, content, kinds...); err != nil {
		return err
	}
	return k.Publish("targets")
}

// Stage stages a package without publishing it.
func (k *Publisher) Stage(path string, build uint16, content []byte, kinds ...string) error {
	file := filepath.Join(k.Dir, "incoming")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	if err := k.Repo.Add("targets", file, path, build, kinds); err != nil {
		return err
	}
	all := filepath.Join(k.Dir, "targets")
	return filepath.Walk(all, func(p string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() {
			return err
		}
		rel, _ := filepath.Rel(all, p)
		text, err := os.ReadFile(p)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.content[filepath.ToSlash(rel)] = text
		return err
	})
}

// Rotate replaces a role's first key by a new one, and publishes the next root, signed by the old and the new keys.
func (k *Publisher) Rotate(role string) error {
	newKey, err := keys.Generate("ed25519")
	if err != nil {
		return err
	}
	old := k.Keys[role][0]
	if err := k.Repo.Rotate(role, []*metadata.Key{newKey.Public}, []string{old.ID}, 0); err != nil {
		return err
	}
	signers := k.Keys["root"]
	k.Keys[role] = append(append([]*keys.Key{}, k.Keys[role][1:]...), newKey)
	for _, one := range append(append([]*keys.Key{}, signers...), k.Keys["root"]...) {
		if err := k.Repo.Sign("root", one); err != nil {
			return err
		}
	}
	staged := []string{}
	if role == "targets" {
		if err := k.Repo.Renew("targets"); err != nil {
			return err
		}
		staged = append(staged, "targets")
	}
	return k.Publish(staged...)
}

// Root returns the root file of a version from the last published set, or nil if there is none.
func (k *Publisher) Root(version int) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.history[len(k.history)-1].Files[fmt.Sprintf("%d.root.json", version)]
}

// At returns the n-th published set, counted from 0. An n after the last set returns the last one.
func (k *Publisher) At(n int) FileSet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.history[max(0, min(n, len(k.history)-1))]
}

// Len returns the number of published sets.
func (k *Publisher) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.history)
}

// Version returns the highest version of a role in the last published set.
func (k *Publisher) Version(role string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return newestVersion(k.history[len(k.history)-1].Files, role)
}

// ShortLifetimes returns lifetimes for tests in which metadata expire. A timestamp is valid for the given time, the
// other roles for multiples of it.
func ShortLifetimes(each time.Duration) tufrepo.Lifetimes {
	return tufrepo.Lifetimes{Root: 1000 * each, Targets: 100 * each, Snapshot: 10 * each, Timestamp: each}
}
