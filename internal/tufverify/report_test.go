package tufverify_test

import (
	"bytes"
	"crypto"
	"testing"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

func TestReportVerifier_RefusedReports(t *testing.T) {
	b := newTestRepository(t)
	k, otherKey := b.keys["extra"][0], b.keys["targets"][0]
	verifier := tufverify.NewReportVerifier(b.store, map[string]crypto.PublicKey{"s": k.Private.Public(), "u": otherKey.Private.Public()})
	report := func(server string, counter int64, by *keys.Key) []byte {
		text, err := tufverify.SignReport(tufverify.Report{Server: server, Counter: counter, At: start}, by.Private)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for _, c := range []struct {
		name, server string
		text         []byte
		want         any
	}{
		{"first report", "s", report("s", 3, k), nil},
		{"same report again", "s", report("s", 3, k), tufverify.ReasonAlreadyHeld},
		{"lower counter", "s", report("s", 2, k), tufverify.ReasonOlderVersion},
		{"report of another server", "u", report("s", 4, k), tufverify.ReasonOtherServer},
		{"signed by another server", "s", report("s", 4, otherKey), tufverify.ReasonBadSignature},
		{"server without a known key", "x", report("x", 1, k), tufverify.ReasonUnknownKey},
		{"without a counter", "s", report("s", 0, k), tufverify.ReasonMalformed},
		{"not a report", "s", []byte(`{"signed":{},"signatures":[]}`), tufverify.ReasonMalformed},
		{"unknown member", "s", bytes.Replace(report("s", 5, k), []byte(`"counter"`), []byte(`"x":1,"counter"`), 1), tufverify.ReasonMalformed},
		{"too large", "s", bytes.Repeat([]byte(" "), tufverify.MaxReportSize+1), tufverify.ReasonTooLarge},
		{"next report", "s", report("s", 4, k), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, refusal := verifier.VerifyReport(c.server, c.text)
			(&testRepository{TB: t}).checkRefusal(c.want, refusal)
		})
	}
	b.store.failWrites = true
	_, refusal := verifier.VerifyReport("s", report("s", 9, k))
	b.checkRefusal(tufverify.ReasonNotDurable, refusal)
}
