package director

import (
	"log/slog"

	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
)

// UpdateServers takes the list of servers, or changes of it.
func (d *Director) UpdateServers(whole bool, hosts []dispatch.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, named := d.tick(), map[string]bool{}
	for _, h := range hosts {
		named[h.Name] = true
		s := d.servers[h.Name]
		fresh := s == nil
		if fresh {
			s = &server{}
			s.Name = h.Name
			d.servers[h.Name] = s
		}
		s.Zone, s.Kind = h.Zone, h.MachineKind
		if here := h.State != "removed"; here || !fresh {
			d.rollout.OnListed(now, &s.Server, here)
		}
	}
	for name, s := range d.servers {
		if whole && !named[name] {
			d.rollout.OnListed(now, &s.Server, false)
		}
	}
	d.rollout.OnListComplete(now)
}

var phases = map[string]stagedrollout.Phase{"testing": stagedrollout.Canary, "recalling": stagedrollout.RollingBack,
	"live": stagedrollout.Released, "recalled": stagedrollout.Withdrawn}

// OnStage takes what the platform says of the newest build. News of a build that went before is left aside.
func (d *Director) OnStage(is dispatch.RolloutStage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if is.Version < d.stage.Version || !is.Valid() {
		return
	}
	if is.Version <= d.released && is.Phase != "live" {
		return // it was released before a restart, and is no longer news
	}
	fits, known := d.hardwareKinds(is)
	if d.stage.Phase == "live" && d.stage.Version != is.Version {
		d.recordReleased(d.stage.Version)
	}
	d.stage, d.stageKinds, d.deferredStage = is, fits, nil
	now := d.tick()
	if !known { // told ones may go back, nobody new is told
		d.deferredStage = &is
		d.SetTimer(now + stagedrollout.Tick(metadatarefresh.IssueRetryDelay))
	}
	if is.Version == d.released { // nothing newer is out
		d.rollout.OnStage(now, is.Version, is.Version, stagedrollout.Released, 1, fits)
		return
	}
	d.rollout.OnStage(now, is.Version, d.released, phases[is.Phase], is.ExposureCap, fits)
}

// hardwareKinds tells which kinds of hardware a build's package fits. Until the Image repository says so it is none.
func (d *Director) hardwareKinds(is dispatch.RolloutStage) (kinds []string, known bool) {
	if is.Version == d.stage.Version && d.deferredStage == nil {
		return d.stageKinds, true
	}
	t, refusal := d.lookUp(d.packages[is.Version])
	if refusal == nil {
		return t.Custom.Kinds, true
	}
	if d.waitingVersion != is.Version {
		d.waitingVersion = is.Version
		d.log(slog.LevelWarn, "package waits for the image repository", append([]slog.Attr{slog.Int("version", int(is.Version))},
			refusal.LogFields()...)...)
	}
	return []string{""}, false
}

// recordReleased makes durable that a build was released.
func (d *Director) recordReleased(build uint16) {
	if build <= d.released {
		return
	}
	if err := d.store.Record("director/released", int64(build), tufverify.Digest{}); err != nil {
		d.log(slog.LevelError, "released version could not be recorded", slog.Int("version", int(build)), slog.String("error", err.Error()))
	}
	d.released = build
}

// OnVote takes a vote of this installation's own: nobody new is told while one to hold or go back stands.
func (d *Director) OnVote(v dispatch.Vote) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Version == d.stage.Version && (v.Verdict == "HOLD" || v.Verdict == "ROLLBACK") {
		d.rollout.Pause(d.tick())
	}
}

// OnReport takes a report that was found good.
func (d *Director) OnReport(r *tufverify.Report) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[r.Server]
	if s == nil {
		return ErrUnknownServer
	}
	d.Reports++
	if r.Attack != "" {
		d.log(slog.LevelWarn, "server refused metadata", slog.String("server", r.Server), slog.String("detail", r.Attack))
	}
	tried, ended := uint16(0), map[string]stagedrollout.InstallResult{"ok": stagedrollout.InstallSucceeded, "failed": stagedrollout.InstallFailed,
		"declined": stagedrollout.InstallDeclined}[r.Installed]
	for build, path := range d.packages {
		if path == r.Tried && path != "" {
			tried = build
		}
	}
	d.rollout.OnReport(d.tick(), &s.Server, r.Build, tried, ended)
	return nil
}
