package director

import (
	"fmt"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/metadatarefresh"
	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
)

// File gives a metadata file of a server as it is to be passed on now.
func (d *Director) File(name string, f tufverify.File) ([]byte, error) {
	if f.Role == metadata.ROOT {
		d.rootMu.RLock()
		defer d.rootMu.RUnlock()
		if text := d.chain[f.String()]; text != nil {
			return text, nil
		}
		return nil, ErrUnknownFile
	}
	d.mu.Lock()
	s := d.servers[name]
	if s == nil {
		d.mu.Unlock()
		return nil, ErrUnknownServer
	}
	stale := s.reissue
	d.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := tufverify.FromTime(d.now())
	held := metadatarefresh.Issue{Held: s.files != nil, IssuedAt: s.issuedAt, ExpiresAt: s.expiresAt, Assigned: !stale, ImageAgrees: d.imageAgrees(s)}
	if held.MustRenew(now) {
		if err := d.issue(s, now); err != nil && !held.MayServeStale(now) {
			return nil, err // nothing older is given in its place
		}
	}
	text := s.files[f.String()]
	if text == nil {
		return nil, ErrUnknownFile
	}
	if f.Role == metadata.TARGETS {
		d.mu.Lock()
		s.previousUntil = 0
		d.rollout.OnFetched(stagedrollout.Tick(now), &s.Server, s.assigned)
		d.mu.Unlock()
	}
	return text, nil
}

// imageAgrees: the Image repository still says of the issued target what it said, or can't say anything now.
func (d *Director) imageAgrees(s *server) bool {
	if s.target == nil {
		return true
	}
	is, refusal := d.lookUpImage(s.target.Path)
	return refusal != nil || is.Sum == s.target.Sum && is.Length == s.target.Length
}

// issue signs the next version of a server's metadata, and makes it durable before anyone sees it.
func (d *Director) issue(s *server, now tufverify.Tick) error {
	d.mu.Lock()
	build, kind := s.Assigned(), s.Kind
	s.reissue = false
	d.mu.Unlock()
	again := func(err error) error { // what is owed stays owed
		d.mu.Lock()
		s.reissue = true
		d.mu.Unlock()
		return err
	}
	if metadatarefresh.PersistTime(now, d.store.TrustedTime()) {
		if err := d.store.AdvanceTime(now); err != nil {
			return again(fmt.Errorf("%w: the time is not kept: %w", ErrUnavailable, err))
		}
	}
	now = max(now, d.store.TrustedTime()) // a clock that was set back does not shorten what servers hold
	end := now + tufverify.Tick(d.lifetime/time.Second)*tufverify.Second
	target, err := d.assignedTarget(s.Name, kind, build)
	if err != nil {
		return again(err)
	}
	d.rootMu.RLock()
	online := d.onlineKeys
	d.rootMu.RUnlock()
	version := s.version + 1
	files, err := sign(online, version, end.Time(), target)
	if err != nil {
		return again(err)
	}
	next := issueRecord{assigned: build, expiresAt: end}
	switch {
	case s.version > 0 && s.assigned != build:
		next.previous, next.previousUntil = s.assigned, s.expiresAt
	case now < s.previousUntil:
		next.previous, next.previousUntil = s.previous, s.previousUntil
	}
	if err := d.store.Record("issued/"+s.Name, version, next.digest(files["timestamp.json"])); err != nil {
		return again(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	s.version, s.issueRecord, s.issuedAt, s.files, s.target = version, next, now, files, target
	d.mu.Lock()
	d.Issued++
	d.mu.Unlock()
	return nil
}

// assignedTarget is what a server is told: the Image repository's word on the package of its build, for this server.
func (d *Director) assignedTarget(name, kind string, build uint16) (*tufverify.Target, error) {
	if build == 0 {
		return nil, nil
	}
	path := d.packages[build]
	if path == "" {
		return nil, fmt.Errorf("%w: no package is named for build %d", ErrUnavailable, build)
	}
	is, refusal := d.lookUp(path)
	if refusal != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, refusal)
	}
	t := *is
	t.Custom.ECUs = map[string]string{name: kind}
	t.Custom.Kinds, t.Custom.Build = nil, build
	return &t, nil
}

// lookUp asks the Image repository for a target. While that can't be had, what it said last stands in, so
// that servers can be told back; they ask the Image repository themselves before they install anything.
func (d *Director) lookUp(path string) (*tufverify.Target, *tufverify.RefusalError) {
	t, refusal := d.lookUpImage(path)
	d.answersMu.Lock()
	defer d.answersMu.Unlock()
	if refusal == nil {
		d.answers[path] = t
	} else if was := d.answers[path]; was != nil && metadatarefresh.LastAnswerMayServe(refusal) {
		return was, nil
	}
	return t, refusal
}
