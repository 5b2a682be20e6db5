package relay

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"silvercove/balancer"
)

// TestEvidence_SurvivesRestart checks that evidence is saved and that, after a restart, evidenceSaver.pending holds the
// canary's counts. If the evidence file is damaged, LoadError must report it, and the file must yield no outcomes.
func TestEvidence_SurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	file, path := filepath.Join(dir, "cove.conf"), filepath.Join(dir, "ledger")
	if err := os.WriteFile(file, []byte("verdicts {\n ledger ledger\n save 100ms\n evidence_wait 60s\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	news := strings.Replace(stage, "live", "testing", 1)
	read := func() (Config, error) {
		text := strings.Replace(configText("127.0.0.1:1", "127.0.0.1:2", (&controlPlane{backend: "127.0.0.1:9"}).page()), stage, news, 1)
		if err := os.WriteFile(filepath.Join(dir, "config.json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadConfig(func(name string) string {
			return map[string]string{"NODE_NAME": "n1", "NODE_LISTEN": "127.0.0.1:0", "NODE_DISCOVERY": "127.0.0.1:1",
				"NODE_CONFIG": filepath.Join(dir, "config.json"), "NODE_OPERATOR": file}[name]
		})
	}
	first, err := read()
	if err != nil {
		t.Fatal(err)
	}
	if first.site.Balancer.Rollout.EvidenceWait != 60 {
		t.Errorf("evidence_wait is %v", first.site.Balancer.Rollout.EvidenceWait)
	}
	r := newRelay(first)
	r.dispatcher.WithLock(func() {
		for range 30 {
			r.evidence.store.RecordOutcome(balancer.Tick(time.Now().UnixMicro()/100), 1, 0, 0, false)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := r.evidence.run(ctx); err != nil { // the context has ended, so run saves once and returns
		t.Fatal(err)
	}
	second, err := read()
	if err != nil {
		t.Fatal(err)
	}
	if r = newRelay(second); len(r.evidence.pending.outcomes) != 1 || r.evidence.pending.outcomes[0] < 29 || r.evidence.pending.version != 1 {
		t.Errorf("outcomes after a restart: %v of version %d", r.evidence.pending.outcomes, r.evidence.pending.version)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	if r = newRelay(second); r.evidence.store.LoadError == "" || slices.Max(r.evidence.pending.outcomes) != 0 {
		t.Errorf("load error %q, outcomes %v", r.evidence.store.LoadError, r.evidence.pending.outcomes)
	}
	if err := os.WriteFile(file, []byte("verdict {\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := read(); err == nil || !strings.Contains(err.Error(), "NODE_OPERATOR") {
		t.Errorf("error for an invalid operator's file: %v", err)
	}
}
