package tufverify

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/secure-systems-lab/go-securesystemslib/cjson"
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

// Report is what a server says of itself: an Uptane version report of one ECU (Uptane Standard 5.4.2.1).
type Report struct {
	Type      string    `json:"_type"` // "report"
	Server    string    `json:"server"`
	Hardware  string    `json:"hardware"`
	Counter   int64     `json:"counter"` // grows with each report
	At        time.Time `json:"at"`
	Running   string    `json:"running"` // path of the target that it runs, empty for none
	Build     uint16    `json:"build"`
	Installed string    `json:"installed"` // "", "ok", "failed" or "declined": how the last installation went
	Tried     string    `json:"tried"`     // path of the target that was to be installed
	Attack    string    `json:"attack"`    // what it refused, and why
}

// Manifest is a signed report.
type Manifest struct {
	Signed     json.RawMessage      `json:"signed"`
	Signatures []metadata.Signature `json:"signatures"`
}

// MaxReportSize bounds a manifest, in bytes.
const MaxReportSize = 16 << 10

// SignReport makes the manifest of a report: Ed25519 over the canonical form, or ECDSA over its SHA-256.
func SignReport(r Report, by crypto.Signer) ([]byte, error) {
	r.Type, r.At = "report", r.At.UTC()
	text, err := cjson.EncodeCanonical(r)
	if err != nil {
		return nil, err
	}
	key, err := metadata.KeyFromPublicKey(by.Public())
	if err != nil {
		return nil, err
	}
	id, err := key.ID()
	if err != nil {
		return nil, err
	}
	var sig []byte
	if _, ok := by.Public().(ed25519.PublicKey); ok {
		sig, err = by.Sign(rand.Reader, text, crypto.Hash(0))
	} else {
		sum := sha256.Sum256(text)
		sig, err = by.Sign(rand.Reader, sum[:], crypto.SHA256)
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(Manifest{text, []metadata.Signature{{KeyID: id, Signature: sig}}})
}

// ReportVerifier is what is believed of the reports of a fleet's servers.
type ReportVerifier struct {
	store   VersionStore
	keys    map[string]crypto.PublicKey // by server
	Refused [ReasonCount]int64
}

// NewReportVerifier starts with the keys of its servers.
func NewReportVerifier(host VersionStore, keys map[string]crypto.PublicKey) *ReportVerifier {
	return &ReportVerifier{store: host, keys: keys}
}

// SetKeys replaces the keys of the servers; what was counted stays.
func (f *ReportVerifier) SetKeys(keys map[string]crypto.PublicKey) { f.keys = keys }

func (f *ReportVerifier) refuse(why Reason, server, form string, args ...any) *RefusalError {
	f.Refused[why]++
	return &RefusalError{why, "reports", server, fmt.Sprintf(form, args...)}
}

// VerifyReport verifies the report of a server: signed by its key, its own, and counted further than any before.
// One that came already is refused as Same: its sender has its answer again, nothing is done twice.
func (f *ReportVerifier) VerifyReport(server string, data []byte) (*Report, *RefusalError) {
	if len(data) > MaxReportSize {
		return nil, f.refuse(ReasonTooLarge, server, "%d bytes, %d are allowed", len(data), MaxReportSize)
	}
	sum, err := canonicalDigest(data)
	if err != nil {
		return nil, f.refuse(ReasonMalformed, server, "%v", err)
	}
	var m Manifest
	var r Report
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, f.refuse(ReasonMalformed, server, "%v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(m.Signed))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return nil, f.refuse(ReasonMalformed, server, "%v", err)
	}
	text, err := cjson.EncodeCanonical(r)
	if err != nil || r.Type != "report" || r.Counter < 1 {
		return nil, f.refuse(ReasonMalformed, server, "no report")
	}
	if again, err := canonicalDigest([]byte(`{"signed":` + string(text) + `}`)); err != nil || again != sum {
		return nil, f.refuse(ReasonMalformed, server, "its bytes can be read in two ways")
	}
	if r.Server != server {
		return nil, f.refuse(ReasonOtherServer, server, "it is %q's", r.Server)
	}
	key := f.keys[server]
	if key == nil {
		return nil, f.refuse(ReasonUnknownKey, server, "no key of it is known")
	}
	fits := false
	for _, s := range m.Signatures {
		fits = fits || verifySignature(key, s.Signature, text)
	}
	if !fits {
		return nil, f.refuse(ReasonBadSignature, server, "%d signatures, none by its key", len(m.Signatures))
	}
	name := "report/" + server
	switch seen, was := f.store.Recorded(name); {
	case r.Counter < seen:
		return nil, f.refuse(ReasonOlderVersion, server, "report %d, %d was seen", r.Counter, seen)
	case r.Counter == seen && sum == was:
		return nil, f.refuse(ReasonAlreadyHeld, server, "report %d", seen)
	case r.Counter == seen:
		return nil, f.refuse(ReasonConflict, server, "report %d", seen)
	}
	if err := f.store.Record(name, r.Counter, sum); err != nil {
		return nil, f.refuse(ReasonNotDurable, server, "%v", err)
	}
	return &r, nil
}

func verifySignature(key crypto.PublicKey, sig, text []byte) bool {
	switch key := key.(type) {
	case ed25519.PublicKey:
		return ed25519.Verify(key, text, sig)
	case *ecdsa.PublicKey:
		sum := sha256.Sum256(text)
		return ecdsa.VerifyASN1(key, sum[:], sig)
	}
	return false
}
