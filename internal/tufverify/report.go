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

// Report is the version report of one ECU (Uptane Standard 2.1, section 5.4.2.1). In this project each server is an ECU.
type Report struct {
	Type            string    `json:"_type"` // "report"
	Server          string    `json:"server"`
	Hardware        string    `json:"hardware"`
	Counter         int64     `json:"counter"` // increases with each report
	At              time.Time `json:"at"`
	RunningTarget   string    `json:"running"` // path of the running target; empty for none
	Build           uint16    `json:"build"`
	InstallResult   string    `json:"installed"` // result of the last installation: "", "ok", "failed" or "declined"
	AttemptedTarget string    `json:"tried"`     // path of the target of the last installation attempt; empty for none
	DetectedAttack  string    `json:"attack"`    // the metadata that the server refused, and why it refused them; empty for none
}

// Manifest is a signed report.
type Manifest struct {
	Signed     json.RawMessage      `json:"signed"`
	Signatures []metadata.Signature `json:"signatures"`
}

// MaxReportSize is the maximum size of a manifest in bytes.
const MaxReportSize = 16 << 10

// SignReport signs a report and returns its manifest. The signature is Ed25519 over the report's canonical form, or ECDSA over the
// SHA-256 of that form.
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

// ReportVerifier verifies the reports of a fleet's servers. It is not safe for concurrent use.
type ReportVerifier struct {
	store   VersionStore
	keys    map[string]crypto.PublicKey // keyed by server
	Refused [ReasonCount]int64          // number of refusals, indexed by Reason
}

// NewReportVerifier returns a verifier with the public keys of the servers, keyed by server. It records report counters in store.
func NewReportVerifier(store VersionStore, keys map[string]crypto.PublicKey) *ReportVerifier {
	return &ReportVerifier{store: store, keys: keys}
}

// SetKeys replaces the public keys of the servers. The recorded counters stay.
func (v *ReportVerifier) SetKeys(keys map[string]crypto.PublicKey) { v.keys = keys }

// refuse counts a refusal and returns it.
func (v *ReportVerifier) refuse(reason Reason, server, format string, args ...any) *RefusalError {
	v.Refused[reason]++
	return &RefusalError{Reason: reason, Repository: "reports", Role: server, Text: fmt.Sprintf(format, args...)}
}

// VerifyReport verifies the signed report of a server, and records the counter of the report. The report must be about
// this server and be signed by the server's key. Its counter must be higher than that of every report of the server
// that was accepted before. The last accepted report is refused with ReasonAlreadyHeld if it arrives again.
func (v *ReportVerifier) VerifyReport(server string, data []byte) (*Report, *RefusalError) {
	if len(data) > MaxReportSize {
		return nil, v.refuse(ReasonTooLarge, server, "%d bytes, the limit is %d", len(data), MaxReportSize)
	}
	digest, err := canonicalDigest(data)
	if err != nil {
		return nil, v.refuse(ReasonMalformed, server, "%v", err)
	}
	var m Manifest
	var r Report
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, v.refuse(ReasonMalformed, server, "%v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(m.Signed))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return nil, v.refuse(ReasonMalformed, server, "%v", err)
	}
	text, err := cjson.EncodeCanonical(r)
	if err != nil || r.Type != "report" || r.Counter < 1 {
		return nil, v.refuse(ReasonMalformed, server, "not a valid report")
	}
	if reread, err := canonicalDigest([]byte(`{"signed":` + string(text) + `}`)); err != nil || reread != digest {
		return nil, v.refuse(ReasonMalformed, server, "the signed part is ambiguous")
	}
	if r.Server != server {
		return nil, v.refuse(ReasonOtherServer, server, "the report is of server %q", r.Server)
	}
	key := v.keys[server]
	if key == nil {
		return nil, v.refuse(ReasonUnknownKey, server, "no key known for this server")
	}
	signatureValid := false
	for _, s := range m.Signatures {
		signatureValid = signatureValid || verifySignature(key, s.Signature, text)
	}
	if !signatureValid {
		return nil, v.refuse(ReasonBadSignature, server, "none of %d signatures is valid for the server's key", len(m.Signatures))
	}
	name := "report/" + server
	switch recorded, recordedDigest := v.store.Recorded(name); {
	case r.Counter < recorded:
		return nil, v.refuse(ReasonOlderVersion, server, "report %d is older than %d, which was accepted before", r.Counter, recorded)
	case r.Counter == recorded && digest == recordedDigest:
		return nil, v.refuse(ReasonAlreadyHeld, server, "report %d", recorded)
	case r.Counter == recorded:
		return nil, v.refuse(ReasonConflict, server, "report %d", recorded)
	}
	if err := v.store.Record(name, r.Counter, digest); err != nil {
		return nil, v.refuse(ReasonNotDurable, server, "%v", err)
	}
	return &r, nil
}

// verifySignature reports whether sig is a valid signature of text by the key.
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
