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
// two must sign. Snapshot and timestamp have one key each. If the parameter life is zero,
// tufrepo.DefaultLifetimes apply.
func NewPublisher(dir string, clock *Clock, life tufrepo.Lifetimes, consistent bool) (*Publisher, error) {
	p := &Publisher{Dir: dir, Clock: clock, Keys: map[string][]*keys.Key{}, content: map[string][]byte{}}
	roles := map[string]tufrepo.Role{}
	for role, n := range map[string]int{"root": 3, "targets": 3, "snapshot": 1, "timestamp": 1} {
		definition := tufrepo.Role{Threshold: (n + 1) / 2}
		for i := range n {
			key, err := keys.Generate([]string{"ed25519", "ecdsa"}[i%2])
			if err != nil {
				return nil, err
			}
			p.Keys[role] = append(p.Keys[role], key)
			definition.Keys = append(definition.Keys, key.Public)
		}
		roles[role] = definition
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
	// Init has set the first expiry times by the real clock. Renew replaces them by times of the test's clock.
	r.Now, p.Repo = clock.Now, r
	for _, role := range []string{"root", "targets"} {
		if err := r.Renew(role); err != nil {
			return nil, err
		}
	}
	return p, p.Publish("root", "targets")
}

// Sign signs a role's staged file with as many of its keys as the threshold requires.
func (p *Publisher) Sign(role string) error {
	need := (len(p.Keys[role]) + 1) / 2
	for _, key := range p.Keys[role][:need] {
		if err := p.Repo.Sign(role, key); err != nil {
			return err
		}
	}
	return nil
}

// Publish signs the named staged roles, and publishes.
func (p *Publisher) Publish(staged ...string) error {
	for _, role := range staged {
		if err := p.Sign(role); err != nil {
			return err
		}
	}
	if err := p.Repo.Publish(append(p.Keys["snapshot"], p.Keys["timestamp"]...)); err != nil {
		return err
	}
	return p.recordFileSet()
}

func (p *Publisher) recordFileSet() error {
	files, _, err := tufrepo.PublishedFiles(p.Dir)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	content := map[string][]byte{}
	for name, text := range p.content {
		content[name] = text
	}
	p.history = append(p.history, FileSet{files, content})
	return nil
}

// Add stages and publishes a package.
func (p *Publisher) Add(path string, build uint16, content []byte, kinds ...string) error {
	if err := p.Stage(path, build, content, kinds...); err != nil {
		return err
	}
	return p.Publish("targets")
}

// Stage stages a package without publishing it.
func (p *Publisher) Stage(path string, build uint16, content []byte, kinds ...string) error {
	file := filepath.Join(p.Dir, "incoming")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	if err := p.Repo.Add("targets", file, path, build, kinds); err != nil {
		return err
	}
	targetsDir := filepath.Join(p.Dir, "targets")
	return filepath.Walk(targetsDir, func(name string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() {
			return err
		}
		rel, _ := filepath.Rel(targetsDir, name)
		text, err := os.ReadFile(name)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.content[filepath.ToSlash(rel)] = text
		return err
	})
}

// Rotate replaces a role's first key by a new one, and publishes the next root, signed by the old and the new keys.
func (p *Publisher) Rotate(role string) error {
	newKey, err := keys.Generate("ed25519")
	if err != nil {
		return err
	}
	old := p.Keys[role][0]
	if err := p.Repo.Rotate(role, []*metadata.Key{newKey.Public}, []string{old.ID}, 0); err != nil {
		return err
	}
	signers := p.Keys["root"]
	p.Keys[role] = append(append([]*keys.Key{}, p.Keys[role][1:]...), newKey)
	for _, key := range append(append([]*keys.Key{}, signers...), p.Keys["root"]...) {
		if err := p.Repo.Sign("root", key); err != nil {
			return err
		}
	}
	staged := []string{}
	if role == "targets" {
		if err := p.Repo.Renew("targets"); err != nil {
			return err
		}
		staged = append(staged, "targets")
	}
	return p.Publish(staged...)
}

// Root returns the root file of a version from the last published set, or nil if there is none.
func (p *Publisher) Root(version int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history[len(p.history)-1].Files[fmt.Sprintf("%d.root.json", version)]
}

// At returns the n-th published set, counted from 0. An n after the last set returns the last one.
func (p *Publisher) At(n int) FileSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history[max(0, min(n, len(p.history)-1))]
}

// Len returns the number of published sets.
func (p *Publisher) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.history)
}

// Version returns the highest version of a role in the last published set.
func (p *Publisher) Version(role string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return newestVersion(p.history[len(p.history)-1].Files, role)
}

// ShortLifetimes returns lifetimes for tests in which metadata expire. The parameter each is the lifetime of a timestamp. A
// snapshot lives 10 times as long, targets metadata 100 times, and a root 1000 times.
func ShortLifetimes(each time.Duration) tufrepo.Lifetimes {
	return tufrepo.Lifetimes{Root: 1000 * each, Targets: 100 * each, Snapshot: 10 * each, Timestamp: each}
}
