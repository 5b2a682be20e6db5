package director

import (
	"fmt"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/metadatarefresh"
	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
)

// File returns a metadata file of a server. If the server's metadata must be renewed, File first issues them again. If that
// fails and the issued metadata may not be served any more, File returns an error and no file. The error may wrap
// ErrUnknownServer, ErrUnknownFile or ErrUnavailable.
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
			return nil, err // there are no files, or they have expired or name an earlier assignment, so none may be served
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

// imageAgrees reports whether the target in the metadata last issued to a server has the same digest and length as the
// image repository's target of that path. It also returns true if those metadata name no target, or if the image
// repository refuses the lookup.
func (d *Director) imageAgrees(s *server) bool {
	if s.target == nil {
		return true
	}
	image, refusal := d.lookUpImage(s.target.Path)
	return refusal != nil || image.Sum == s.target.Sum && image.Length == s.target.Length
}

// issue signs the next version of a server's metadata, and records the version before the metadata can be fetched. The caller
// holds server.mu.
func (d *Director) issue(s *server, now tufverify.Tick) error {
	d.mu.Lock()
	assigned, hardware := s.Assigned(), s.Kind
	s.needsReissue = false
	d.mu.Unlock()
	failed := func(err error) error { // marks the metadata as still to be issued, and returns err
		d.mu.Lock()
		s.needsReissue = true
		d.mu.Unlock()
		return err
	}
	if metadatarefresh.MustPersistTime(now, d.store.TrustedTime()) {
		if err := d.store.AdvanceTime(now); err != nil {
			return failed(fmt.Errorf("%w: trusted time could not be recorded: %w", ErrUnavailable, err))
		}
	}
	now = max(now, d.store.TrustedTime()) // if the clock was set back, the lifetime begins at the trusted time, so that the metadata do not expire too early
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

// assignedTarget returns the target of the version that a server is assigned: a copy of the image repository's target that is
// restricted to this server. It returns nil for version 0.
func (d *Director) assignedTarget(server, hardware string, version uint16) (*tufverify.Target, error) {
	if version == 0 {
		return nil, nil
	}
	path := d.packages[version]
	if path == "" {
		return nil, fmt.Errorf("%w: no package is configured for build %d", ErrUnavailable, version)
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

// lookUp looks up a target in the image repository. While the image repository cannot be asked, lookUp returns the last
// known target, so that servers can still be rolled back. An outdated answer causes no wrong installation, because each
// server verifies the package against the image repository itself.
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
