package director

import (
	"log/slog"

	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
)

// UpdateServers replaces the list of servers by endpoints if complete is true. Otherwise it adds or changes the servers in
// endpoints.
func (d *Director) UpdateServers(complete bool, endpoints []dispatch.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.tick()
	listedNames := map[string]bool{}
	for _, endpoint := range endpoints {
		listedNames[endpoint.Name] = true
		d.updateServer(now, endpoint)
	}
	for name, s := range d.servers {
		if complete && !listedNames[name] {
			d.rollout.OnListed(now, &s.Server, false)
		}
	}
	d.rollout.OnListComplete(now)
}

// updateServer adds or changes one server. A server that was unknown and is listed as removed is added, but the rollout is not
// told of it.
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

// OnStage records the stage of the newest version. It ignores an invalid stage and a stage of an earlier version. It also
// ignores a stage of a version that is already released, unless the phase is phaseLive: after a restart, the stages that
// preceded the recorded release can arrive again.
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
	if !known { // kinds matches no server, so the version is not assigned yet; servers can still be rolled back
		d.deferredStage = &stage
		d.setTimer(now + stagedrollout.Tick(metadatarefresh.IssueRetryDelay))
	}
	if stage.Version == d.released { // a released version is for the whole fleet: its exposure cap is 1
		d.rollout.OnStage(now, stage.Version, stage.Version, stagedrollout.Released, 1, kinds)
		return
	}
	d.rollout.OnStage(now, stage.Version, d.released, phases[stage.Phase], stage.ExposureCap, kinds)
}

// hardwareKinds returns the kinds of hardware that the package of a stage's version supports; empty means all kinds. If the
// package cannot be looked up in the image repository, hardwareKinds returns noHardwareKind, and known is false.
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

// recordReleased records a version as released in the version store. If recording fails, the Director treats the
// version as released only until the process restarts.
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

// OnVote records a vote. If the vote is to hold or roll back the newest version, the version is assigned to no further servers
// until a later stage raises the exposure cap.
func (d *Director) OnVote(v dispatch.Vote) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Version == d.stage.Version && (v.Verdict == "HOLD" || v.Verdict == "ROLLBACK") {
		d.rollout.Pause(d.tick())
	}
}

// installResults maps the values of Report.InstallResult to the results of an installation. Any other value means
// InstallPending.
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
	attempted := uint16(0)
	for version, path := range d.packages {
		if path == r.AttemptedTarget && path != "" {
			attempted = version
		}
	}
	d.rollout.OnReport(d.tick(), &s.Server, r.Build, attempted, installResults[r.InstallResult])
	return nil
}
