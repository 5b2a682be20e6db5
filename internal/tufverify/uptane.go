package tufverify

import (
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Assignment is what a server is told to run, once both repositories agree on it.
type Assignment struct {
	Target          // as the Director names it
	Image    Target // as the Image repository does
	Hardware string
}

// Agree holds a Director's targets against the Image repository (full verification, Uptane Standard
// 5.4.4.2): every target that names the server must be known to both with the same length, hash and build,
// and fit the server's kind of hardware. Targets for other servers are left out. need names a role of the
// Image repository that is to be fetched first.
func Agree(now Tick, director, image *Repository, server, hardware string) (all []*Assignment, need string,
	refusal *RefusalError) {
	told, refusal := director.Assigned(now)
	if refusal != nil {
		return nil, "", refusal
	}
	for _, t := range told {
		kind, ok := t.Custom.ECUs[server]
		if !ok {
			continue
		}
		if kind != hardware {
			return nil, "", director.refuse(ReasonOtherServer, t.Path, "it is for %s, %s is %s", kind, server, hardware)
		}
		is, need, refusal := image.Find(now, t.Path)
		if need != "" || refusal != nil {
			return nil, need, refusal
		}
		if refusal := director.Compare(t, is, hardware); refusal != nil {
			return nil, "", refusal
		}
		all = append(all, &Assignment{*t, *is, hardware})
	}
	return all, "", nil
}

// Compare holds a target of a Director against the one of the Image repository.
func (r *Repository) Compare(told, is *Target, hardware string) *RefusalError {
	fits := len(is.Custom.Kinds) == 0
	for _, k := range is.Custom.Kinds {
		fits = fits || k == hardware
	}
	switch {
	case told.Length != is.Length:
		return r.refuse(ReasonDisagreement, told.Path, "length %d and %d", told.Length, is.Length)
	case told.Sum != is.Sum:
		return r.refuse(ReasonDisagreement, told.Path, "hash %x and %x", told.Sum[:4], is.Sum[:4])
	case told.Custom.Build != is.Custom.Build:
		return r.refuse(ReasonDisagreement, told.Path, "build %d and %d", told.Custom.Build, is.Custom.Build)
	case !fits:
		return r.refuse(ReasonDisagreement, told.Path, "it does not fit %s", hardware)
	}
	return nil
}

// VerifyPartial verifies a Director's targets alone, for servers that hold no more than the Director's keys for
// them (partial verification, Uptane Standard 5.4.4.1): signed, not expired, no older than seen, and naming
// no other server only. It keeps its floor under the name that is given.
func VerifyPartial(now Tick, host VersionStore, name string, by *metadata.Metadata[metadata.RootType], data []byte,
	server string) ([]*Target, *RefusalError) {
	r := &Repository{name: name, store: host, now: host.TrustedTime(), root: &verified[metadata.RootType]{Metadata: by}}
	r.advance(now)
	const role = metadata.TARGETS
	t, refusal := parse[metadata.TargetsType](r, role, data, MaxTargetsSize)
	if refusal == nil {
		refusal = validateTargets(r, role, t)
	}
	if refusal == nil {
		refusal = r.verifySignatures(by, role, t.Metadata, t.Signatures)
	}
	if refusal == nil {
		refusal = r.checkRollback(role, t.version, t.digest, t.expires)
	}
	if refusal != nil {
		return nil, refusal
	}
	var mine []*Target
	for path, is := range t.Signed.Targets {
		if one := newTarget(path, role, is); one.Custom.ECUs[server] != "" {
			mine = append(mine, one)
		}
	}
	if len(mine) == 0 && len(t.Signed.Targets) > 0 {
		return nil, r.refuse(ReasonOtherServer, role, "nothing in it is for %s", server)
	}
	if refusal = r.recordVersion(role, r.storeKey(role), t.version, t.digest); refusal != nil {
		return nil, refusal
	}
	return mine, nil
}
