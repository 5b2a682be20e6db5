package relay

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silvercove/balancer"
)

func TestConfigParse_ErrorNamesKey(t *testing.T) {
	whole := configText("127.0.0.1:1", "127.0.0.1:2", (&controlPlane{backend: "127.0.0.1:9"}).page())
	for _, c := range []struct{ name, old, put string }{
		{"seed", "8c1f", "xyz"},
		{"limits", `"sockets":128`, `"sockets":3`},
		{"discovery", "127.0.0.1:1", "nowhere"},
		{"release_api.address", "127.0.0.1:2", "nowhere"},
		{"release_api.news", "live", "asleep"},
		{"known", `"seq":3`, `"seq":"x"`},
		{"settings", `"grades"`, `"others"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var parsed Config
			if err := parsed.parse([]byte(whole)); err != nil || !json.Valid([]byte(whole)) {
				t.Fatal(err)
			}
			err := parsed.parse([]byte(strings.Replace(whole, c.old, c.put, 1)))
			if err == nil || !strings.Contains(err.Error(), c.name) {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// readTestConfig reads a configuration from a file, as a relay does at its start.
func readTestConfig(tb testing.TB, text string) (Config, error) {
	tb.Helper()
	file := filepath.Join(tb.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return ReadConfig(func(name string) string {
		return map[string]string{"NODE_NAME": "n1", "NODE_LISTEN": "127.0.0.1:0", "NODE_DISCOVERY": "127.0.0.1:1",
			"NODE_CONFIG": file}[name]
	})
}

// TestReadConfig_ExtremeValues checks that an impossible value is rejected with an error that names its key. A value that
// is merely large must be accepted, and the durations and limits that result from it must be ones that a relay can run
// with.
func TestReadConfig_ExtremeValues(t *testing.T) {
	for _, c := range []struct{ old, put, rejected string }{
		{`"cores":1.0`, `"cores":0`, "limits.cores"}, {`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`"cores":1.0`, `"cores":null`, "limits.cores"}, {`"cores":1.0`, `"cores":1e300`, "limits.cores"},
		{`"cores":1.0`, `"cores":1e999`, "cores"}, {`"cores":1.0`, `"cores":"2"`, "cores"},
		{`"cores":1.0`, `"cores":0.01`, ""}, {`"cores":1.0`, `"cores":4096`, ""},
		{`"memory_mb":64`, `"memory_mb":0`, "limits.memory_mb"}, {`"memory_mb":64`, `"memory_mb":-64`, "limits.memory_mb"},
		{`"memory_mb":64`, `"memory_mb":0.5`, "memory_mb"}, {`"memory_mb":64`, `"memory_mb":1e300`, "memory_mb"},
		{`"memory_mb":64`, `"memory_mb":17592186044417`, "limits.memory_mb"}, // shifted to bytes, it would overflow to 1 MB
		{`"memory_mb":64`, `"memory_mb":9223372036854775807`, "limits.memory_mb"},
		{`"memory_mb":64`, `"memory_mb":1073741824`, ""},
		{`"sockets":128`, `"sockets":71`, "limits.sockets"}, {`"sockets":128`, `"sockets":-128`, "limits.sockets"},
		{`"sockets":128`, `"sockets":72.5`, "sockets"}, {`"sockets":128`, `"sockets":4611686018427387904`, "limits.sockets"},
		{`"sockets":128`, `"sockets":72`, ""}, {`"sockets":128`, `"sockets":1048576`, ""},
		{`"connect_timeout":1.0`, `"connect_timeout":-1`, "limits.connect_timeout"},
		{`"connect_timeout":1.0`, `"connect_timeout":0`, ""}, {`"connect_timeout":1.0`, `"connect_timeout":1e300`, ""},
		{`"idle_close":5.0`, `"idle_close":1e300`, ""}, {`"idle_close":5.0`, `"idle_close":0`, ""},
		{`"idle_close":5.0`, `"idle_close":"5"`, "limits.idle_close"},
		{`"drain_grace":0.2`, `"drain_grace":1e300`, ""}, {`"drain_grace":0.2`, `"drain_grace":null`, ""},
		{`"vote_wait":1.0`, `"vote_wait":1e300`, ""}, {`"vote_wait":1.0`, `"vote_wait":-1`, "family_info.vote_wait"},
		{`"deadline":2.0`, `"deadline":1e300`, ""}, {`"deadline":2.0`, `"deadline":0`, ""},
		{`"balancers":1`, `"balancers":1e300`, ""}, {`"balancers":1`, `"balancers":2.5`, ""}, {`"balancers":1`, `"balancers":-7`, ""},
		{`"send_cap":2`, `"send_cap":1e300`, ""}, {`"send_cap":2`, `"send_cap":0`, "limits.send_cap"},
	} {
		t.Run(c.put, func(t *testing.T) {
			text := strings.Replace(defaultConfigText(), c.old, c.put, 1)
			if text == defaultConfigText() || !json.Valid([]byte(text)) {
				t.Fatal("the value was not replaced")
			}
			config, err := readTestConfig(t, text)
			if c.rejected != "" {
				if err == nil || !strings.Contains(err.Error(), c.rejected) {
					t.Fatalf("error %v, want one that names %s", err, c.rejected)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			cores, memory := config.Limits()
			if n := math.Ceil(cores); !(n >= 1 && n <= maxCores) || memory <= 0 || memory > math.MaxInt64/3 {
				t.Errorf("the limits are %v cores and %d bytes", cores, memory)
			}
			r := newRelay(config)
			if r.stopTimeout < acceptGrace || r.stopTimeout > maxKillDelay+acceptGrace {
				t.Errorf("stop timeout is %v", r.stopTimeout)
			}
			s := config.site.Balancer
			for name, seconds := range map[string]balancer.Seconds{"limits.connect_timeout": s.Limits.ConnectTimeout,
				"limits.idle_close": s.Limits.IdleTimeout, "rules.drain_grace": s.Endpoints.DrainGrace,
				"rollout.vote_wait": s.Rollout.VoteTimeout} {
				if span := seconds.Duration(); span < 0 || math.Abs(span.Seconds()-float64(seconds)) > 0.001 {
					t.Errorf("%s is %v as a duration, %v s in the settings", name, span, seconds)
				}
			}
		})
	}
}
