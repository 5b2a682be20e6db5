package director

import (
	"log/slog"

	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
)

// UpdateServers replaces the list of servers if the given list is complete; otherwise it adds or changes the servers that
// the list names.
func (d *Director) UpdateServers(complete bool, endpoints []dispatch.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.tick()
	named := map[string]bool{}
	for _, endpoint := range endpoints {
		named[endpoint.Name] = true
		d.updateServer(now, endpoint)
	}
	for name, s := range d.servers {
		if complete && !named[name] {
			d.rollout.OnListed(now, &s.Server, false)
		}
	}
	d.rollout.OnListComplete(now)
}

// updateServer adds or changes one server. A server that is unknown and listed as removed is not reported to the rollout.
func (d *Director) updateServer(now stagedrollout.Tick, endpoint dispatch.Endpoint) {
	s := d.servers[endpoint.Name]
	added := s == nil
	if added {
		s = &server{}
		s.Name = endpoint.Name
		d.servers[endpoint.Name] = s
	}
	s.Zone, s.Kind = endpoint.Zone, endpoint.MachineKind
	if listed := endpoint.State != "removed"; listed || !added {
		d.rollout.OnListed(now, &s.Server, listed)
	}
}

// phases maps the phase names of the release API to the rollout's phases.
var phases = map[string]stagedrollout.Phase{
	"testing":   stagedrollout.Canary,
	"recalling": stagedrollout.RollingBack,
	"live":      stagedrollout.Released,
	"recalled":  stagedrollout.Withdrawn,
}

// phaseLive is the release API's name for the phase of a released version.
const phaseLive = "live"

// noHardwareKind is a list of kinds of hardware that matches no server.
var noHardwareKind = []string{""}

// OnStage records the stage of the newest version. It ignores a stage of an earlier version. If a version was recorded as
// released before a restart, OnStage also ignores the stages that preceded the release of that version.
func (d *Director) OnStage(stage dispatch.RolloutStage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stage.Version < d.stage.Version || !stage.Valid() {
		return
	}
	if stage.Version <= d.released && stage.Phase != phaseLive {
		return
	}
	kinds, known := d.hardwareKinds(stage)
	if d.stage.Phase == phaseLive && d.stage.Version != stage.Version {
		d.recordReleased(d.stage.Version)
	}
	d.stage, d.stageKinds, d.deferredStage = stage, kinds, nil
	now := d.tick()
	if !known { // no server is assigned the version yet, but servers may still be rolled back
		d.deferredStage = &stage
		d.setTimer(now + stagedrollout.Tick(metadatarefresh.IssueRetryDelay))
	}
	if stage.Version == d.released { // there is no newer version
		d.rollout.OnStage(now, stage.Version, stage.Version, stagedrollout.Released, 1, kinds)
		return
	}
	d.rollout.OnStage(now, stage.Version, d.released, phases[stage.Phase], stage.ExposureCap, kinds)
}

// hardwareKinds returns the kinds of hardware that the package of a stage's version fits. Until the image repository has the
// package, it returns noHardwareKind and known is false.
func (d *Director) hardwareKinds(stage dispatch.RolloutStage) (kinds []string, known bool) {
	if stage.Version == d.stage.Version && d.deferredStage == nil {
		return d.stageKinds, true
	}
	target, refusal := d.lookUp(d.packages[stage.Version])
	if refusal == nil {
		return target.Custom.HardwareKinds, true
	}
	if d.loggedMissingVersion != stage.Version {
		d.loggedMissingVersion = stage.Version
		d.log(slog.LevelWarn, "package waits for the image repository",
			append([]slog.Attr{slog.Int("version", int(stage.Version))}, refusal.LogFields()...)...)
	}
	return noHardwareKind, false
}

// recordReleased records a version as released.
func (d *Director) recordReleased(version uint16) {
	if version <= d.released {
		return
	}
	if err := d.store.Record(releasedKey, int64(version), tufverify.Digest{}); err != nil {
		d.log(slog.LevelError, "released version could not be recorded", slog.Int("version", int(version)),
			slog.String("error", err.Error()))
	}
	d.released = version
}

// OnVote records a vote of this installation. A vote to hold or roll back the newest version stops its assignment to further
// servers until a later stage.
func (d *Director) OnVote(v dispatch.Vote) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Version == d.stage.Version && (v.Verdict == "HOLD" || v.Verdict == "ROLLBACK") {
		d.rollout.Pause(d.tick())
	}
}

// installResults maps the words of a report to the results of an installation. Any other word means InstallPending.
var installResults = map[string]stagedrollout.InstallResult{
	"ok":       stagedrollout.InstallSucceeded,
	"failed":   stagedrollout.InstallFailed,
	"declined": stagedrollout.InstallDeclined,
}

// OnReport records a verified report. It returns ErrUnknownServer if the server is not in the fleet.
func (d *Director) OnReport(r *tufverify.Report) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[r.Server]
	if s == nil {
		return ErrUnknownServer
	}
	d.Reports++
	if r.DetectedAttack != "" {
		d.log(slog.LevelWarn, "server refused metadata", slog.String("server", r.Server), slog.String("detail", r.DetectedAttack))
	}
	tried := uint16(0)
	for version, path := range d.packages {
		if path == r.AttemptedTarget && path != "" {
			tried = version
		}
	}
	d.rollout.OnReport(d.tick(), &s.Server, r.Build, tried, installResults[r.InstallResult])
	return nil
}
