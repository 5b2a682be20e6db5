package director

import (
	"fmt"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/metadatarefresh"
	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
)

// File gives a current metadata file of a server, issued anew if that is due. Its error wraps ErrUnknownServer,
// ErrUnknownFile or ErrUnavailable; never an old file stands in.
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
	reissue := s.needsReissue
	d.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := tufverify.FromTime(d.now())
	current := metadatarefresh.Issue{
		Exists:            s.files != nil,
		IssuedAt:          s.issuedAt,
		ExpiresAt:         s.expiresAt,
		AssignmentCurrent: !reissue,
		ImageAgrees:       d.imageAgrees(s),
	}
	if current.MustRenew(now) {
		if err := d.issue(s, now); err != nil && !current.MayServeStale(now) {
			return nil, err // no older file stands in
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

// imageAgrees tells whether the image repository still has the issued target as it was, or can't be asked now.
func (d *Director) imageAgrees(s *server) bool {
	if s.target == nil {
		return true
	}
	image, refusal := d.lookUpImage(s.target.Path)
	return refusal != nil || image.Sum == s.target.Sum && image.Length == s.target.Length
}

// issue signs the next version of a server's metadata, and records it before anyone can see it. server.mu is held.
func (d *Director) issue(s *server, now tufverify.Tick) error {
	d.mu.Lock()
	assigned, hardware := s.Assigned(), s.Kind
	s.needsReissue = false
	d.mu.Unlock()
	failed := func(err error) error { // it stays to be issued
		d.mu.Lock()
		s.needsReissue = true
		d.mu.Unlock()
		return err
	}
	if metadatarefresh.MustPersistTime(now, d.store.TrustedTime()) {
		if err := d.store.AdvanceTime(now); err != nil {
			return failed(fmt.Errorf("%w: the time is not kept: %w", ErrUnavailable, err))
		}
	}
	now = max(now, d.store.TrustedTime()) // a clock that was set back does not shorten what servers hold
	expiresAt := now + tufverify.Tick(d.lifetime/time.Second)*tufverify.Second
	target, err := d.assignedTarget(s.Name, hardware, assigned)
	if err != nil {
		return failed(err)
	}
	d.rootMu.RLock()
	online := d.onlineKeys
	d.rootMu.RUnlock()
	version := s.version + 1
	files, err := signFiles(online, version, expiresAt.Time(), target)
	if err != nil {
		return failed(err)
	}
	next := issueRecord{assigned: assigned, expiresAt: expiresAt}
	switch {
	case s.version > 0 && s.assigned != assigned:
		next.previous, next.previousUntil = s.assigned, s.expiresAt
	case now < s.previousUntil:
		next.previous, next.previousUntil = s.previous, s.previousUntil
	}
	if err := d.store.Record(issuedPrefix+s.Name, version, next.encode(files["timestamp.json"])); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	s.version, s.issueRecord, s.issuedAt, s.files, s.target = version, next, now, files, target
	d.mu.Lock()
	d.Issued++
	d.mu.Unlock()
	return nil
}

// assignedTarget is the target that names a server's assigned version: the image repository's, for this server alone. It is nil
// for version 0.
func (d *Director) assignedTarget(server, hardware string, version uint16) (*tufverify.Target, error) {
	if version == 0 {
		return nil, nil
	}
	path := d.packages[version]
	if path == "" {
		return nil, fmt.Errorf("%w: no package is named for build %d", ErrUnavailable, version)
	}
	image, refusal := d.lookUp(path)
	if refusal != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, refusal)
	}
	target := *image
	target.Custom.ECUs = map[string]string{server: hardware}
	target.Custom.HardwareKinds, target.Custom.Build = nil, version
	return &target, nil
}

// lookUp looks a target up in the image repository. While that can't be asked, its last answer stands in, so that servers can
// be rolled back; they ask the image repository themselves before they install anything.
func (d *Director) lookUp(path string) (*tufverify.Target, *tufverify.RefusalError) {
	target, refusal := d.lookUpImage(path)
	d.cachedTargetsMu.Lock()
	defer d.cachedTargetsMu.Unlock()
	if refusal == nil {
		d.cachedTargets[path] = target
	} else if last := d.cachedTargets[path]; last != nil && metadatarefresh.MayServeLastAnswer(refusal) {
		return last, nil
	}
	return target, refusal
}
