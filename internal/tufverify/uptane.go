package tufverify

import (
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// VerifyAssignment compares assigned, a target that comes from a Director, with image, the image repository's target of
// the same path. It refuses assigned if its length, its SHA-256 or its software version (Custom.Build) differs from
// that of image. It also refuses assigned if image does not support the given kind of hardware.
func (r *Repository) VerifyAssignment(assigned, image *Target, hardware string) *RefusalError {
	supported := len(image.Custom.HardwareKinds) == 0 || slices.Contains(image.Custom.HardwareKinds, hardware)
	switch {
	case assigned.Length != image.Length:
		return r.refuse(ReasonDisagreement, assigned.Path, "length differs: director %d, image %d", assigned.Length, image.Length)
	case assigned.Sum != image.Sum:
		return r.refuse(ReasonDisagreement, assigned.Path, "SHA-256 differs: director %x, image %x", assigned.Sum[:4], image.Sum[:4])
	case assigned.Custom.Build != image.Custom.Build:
		return r.refuse(ReasonDisagreement, assigned.Path, "build differs: director %d, image %d", assigned.Custom.Build, image.Custom.Build)
	case !supported:
		return r.refuse(ReasonDisagreement, assigned.Path, "hardware kind %s is not supported", hardware)
	}
	return nil
}

// VerifyPartial performs partial verification (Uptane Standard 2.1, section 5.4.4.1), for servers that hold only the
// Director's keys for targets. The targets metadata in data must be signed, not expired and no older than the recorded
// version. If they list any targets, at least one must be for server. VerifyPartial returns the targets for server. It
// records the version of the metadata in store, under keys that begin with the parameter name.
func VerifyPartial(now Tick, store VersionStore, name string, root *metadata.Metadata[metadata.RootType], data []byte,
	server string) ([]*Target, *RefusalError) {
	r := &Repository{name: name, store: store, now: store.TrustedTime(), root: &verified[metadata.RootType]{Metadata: root}}
	r.advance(now)
	const role = metadata.TARGETS
	t, refusal := parse[metadata.TargetsType](r, role, data, MaxTargetsSize)
	if refusal == nil {
		refusal = validateTargets(r, role, t)
	}
	if refusal == nil {
		refusal = r.verifySignatures(root, role, t.Metadata, t.Signatures)
	}
	if refusal == nil {
		refusal = r.checkRollback(role, t.version, t.digest, t.expires)
	}
	if refusal != nil {
		return nil, refusal
	}
	var assigned []*Target
	for path, file := range t.Signed.Targets {
		if target := newTarget(path, role, file); target.Custom.ECUs[server] != "" {
			assigned = append(assigned, target)
		}
	}
	if len(assigned) == 0 && len(t.Signed.Targets) > 0 {
		return nil, r.refuse(ReasonOtherServer, role, "no target is for server %s", server)
	}
	if refusal = r.recordVersion(role, t.version, t.digest); refusal != nil {
		return nil, refusal
	}
	return assigned, nil
}
