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
