package tufverify_test

import (
	"encoding/json"
	"testing"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/tufverify"
)

func TestVerifyPartial_RefusedTargets(t *testing.T) {
	b := newTestRepository(t)
	root, err := (&metadata.Metadata[metadata.RootType]{}).FromBytes(b.root(1, day))
	if err != nil {
		t.Fatal(err)
	}
	forServer := func(server string) func(m *metadata.TargetsType) {
		return func(m *metadata.TargetsType) {
			withTarget("app")(m)
			text, _ := json.Marshal(tufverify.Custom{ECUs: map[string]string{server: "large"}})
			raw := json.RawMessage(text)
			m.Targets["app"].Custom = &raw
		}
	}
	for _, c := range []struct {
		name string
		text []byte
		want any
	}{
		{"for this server", b.targets(3, day, forServer("s")), nil},
		{"older", b.targets(2, day, forServer("s")), tufverify.ReasonOlderVersion},
		{"for another server", b.targets(4, day, forServer("u")), tufverify.ReasonOtherServer},
		{"expired", b.targets(4, 0, forServer("s")), tufverify.ReasonExpired},
		{"signed by another key", b.targets(4, day, forServer("s"), b.keys["extra"]...), tufverify.ReasonUnknownKey},
		{"no targets", b.targets(4, day, nil), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, refusal := tufverify.VerifyPartial(at(0), b.store, "d", root, c.text, "s")
			(&testRepository{TB: t}).checkRefusal(c.want, refusal)
		})
	}
}
