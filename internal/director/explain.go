package director

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
)

// Kind returns the kind of hardware of a server, as it was last listed, and reports whether the server is known.
func (d *Director) Kind(name string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[name]
	if s == nil {
		return "", false
	}
	return s.Kind, true
}

// Count returns the numbers of servers by their state in the rollout.
func (d *Director) Count() stagedrollout.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rollout.Count(d.tick())
}

// IssuedCount returns how many times metadata were issued to a server since the process started.
func (d *Director) IssuedCount() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Issued
}

// Explain returns sentences that explain why a server is assigned its version. Its error wraps ErrUnknownServer.
func (d *Director) Explain(name string) ([]string, error) {
	d.mu.Lock()
	s := d.servers[name]
	if s == nil {
		d.mu.Unlock()
		return nil, fmt.Errorf("%s: %w; known: %s", name, ErrUnknownServer, firstNames(d.servers))
	}
	now := d.tick()
	explanation := d.rollout.Explain(now, &s.Server)
	stage, released, zone, kind := d.stage, d.released, s.Zone, s.Kind
	d.mu.Unlock()
	s.mu.Lock()
	version, issued, expiresAt := s.version, s.assigned, s.expiresAt
	s.mu.Unlock()
	lines := []string{
		fmt.Sprintf("%s is in zone %s, of kind %s; it reported that it runs build %d.", name, zone, kind, explanation.Running),
		fmt.Sprintf("Build %d is released. The newest is build %d, %s, with a cap of %g.", released, stage.Version, stage.Phase,
			stage.ExposureCap),
		fmt.Sprintf("It is told build %d; it is number %d of %d in the order of build %d.", explanation.Assigned, explanation.Rank+1, explanation.Servers,
			stage.Version),
		fmt.Sprintf("The cap lets %d servers be told; %d are, or may still act on having been.", explanation.MaxAssigned, explanation.MayInstall),
	}
	if version > 0 {
		lines = append(lines, fmt.Sprintf("Its metadata have version %d, name build %d and last until %s.", version, issued,
			expiresAt.Time().Format(time.RFC3339)))
	}
	if explanation.Failures > 0 {
		lines = append(lines, fmt.Sprintf("It failed to install the package %d times; it is put off until %s.", explanation.Failures,
			tufverify.Tick(explanation.NotBefore).Time().Format(time.RFC3339)))
	}
	if explanation.Excluded {
		lines = append(lines, "It is left out of this package for good.")
	}
	if tufverify.Tick(explanation.MayInstallUntil) > tufverify.Tick(now) {
		lines = append(lines, fmt.Sprintf("It was told back, and counts until it has fetched that or %s.",
			tufverify.Tick(explanation.MayInstallUntil).Time().Format(time.RFC3339)))
	}
	if path := d.packages[explanation.Assigned]; path != "" {
		if target, refusal := d.lookUpImage(path); refusal == nil {
			lines = append(lines, fmt.Sprintf("The Image repository vouches for %s: %d bytes, SHA-256 %x, by its role %s.", path,
				target.Length, target.Sum, target.Role))
		} else {
			lines = append(lines, fmt.Sprintf("The Image repository does not vouch for %s now: %v.", path, refusal))
		}
	}
	return lines, nil
}

// maxNamesInError is the maximum number of server names in an error.
const maxNamesInError = 10

// firstNames returns the first maxNamesInError names of servers in alphabetical order, separated by commas, for an error.
func firstNames(all map[string]*server) string {
	names := slices.Sorted(maps.Keys(all))
	if len(names) > maxNamesInError {
		names = append(names[:maxNamesInError], "...")
	}
	return strings.Join(names, ", ")
}
