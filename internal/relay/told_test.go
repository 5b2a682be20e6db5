package relay

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
)

// configured reads a configuration as a relay finds it at its start.
func configured(t *testing.T, text string) (Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadConfig(func(name string) string {
		return map[string]string{"NODE_NAME": "n1", "NODE_LISTEN": "127.0.0.1:0", "NODE_DISCOVERY": "127.0.0.1:1",
			"NODE_CONFIG": file}[name]
	})
}

func usual() string {
	return config("127.0.0.1:1", "127.0.0.1:2", (&desk{unit: "127.0.0.1:9"}).page())
}

// TestOddFigures: a figure that cannot be is refused by its name; one that is only large leaves times and limits that
// a relay can run with.
func TestOddFigures(t *testing.T) {
	for _, c := range []struct{ old, put, refused string }{
		{`"cores":1.0`, `"cores":0`, "limits.cores"}, {`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`"cores":1.0`, `"cores":null`, "limits.cores"}, {`"cores":1.0`, `"cores":1e300`, "limits.cores"},
		{`"cores":1.0`, `"cores":1e999`, "cores"}, {`"cores":1.0`, `"cores":"2"`, "cores"},
		{`"cores":1.0`, `"cores":0.01`, ""}, {`"cores":1.0`, `"cores":4096`, ""},
		{`"memory_mb":64`, `"memory_mb":0`, "limits.memory_mb"}, {`"memory_mb":64`, `"memory_mb":-64`, "limits.memory_mb"},
		{`"memory_mb":64`, `"memory_mb":0.5`, "memory_mb"}, {`"memory_mb":64`, `"memory_mb":1e300`, "memory_mb"},
		{`"memory_mb":64`, `"memory_mb":17592186044417`, "limits.memory_mb"}, // shifted it would be 1 MB
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
			text := strings.Replace(usual(), c.old, c.put, 1)
			if text == usual() || !json.Valid([]byte(text)) {
				t.Fatal("the figure is not put")
			}
			told, err := configured(t, text)
			if c.refused != "" {
				if err == nil || !strings.Contains(err.Error(), c.refused) {
					t.Fatalf("error %v, wanted one of %s", err, c.refused)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			cores, memory := told.Limits()
			if n := math.Ceil(cores); !(n >= 1 && n <= maxCores) || memory <= 0 || memory > math.MaxInt64/3 {
				t.Errorf("limits %v, %d", cores, memory)
			}
			r := newRelay(told)
			if r.stopTimeout < acceptGrace || r.stopTimeout > maxKillDelay+acceptGrace {
				t.Errorf("%v are left at a stop", r.stopTimeout)
			}
			s := told.site.Balancer
			for name, seconds := range map[string]balancer.Seconds{"limits.connect_timeout": s.Limits.ConnectTimeout,
				"limits.idle_close": s.Limits.IdleTimeout, "rules.drain_grace": s.Endpoints.DrainGrace,
				"rollout.vote_wait": s.Rollout.VoteTimeout} {
				if span := seconds.Duration(); span < 0 || math.Abs(span.Seconds()-float64(seconds)) > 0.001 {
					t.Errorf("%s is %v as a time, %v s as told", name, span, seconds)
				}
			}
		})
	}
}

// TestTwoRelaysShareNothing: two relays of one process, each with the configuration of another customer.
func TestTwoRelaysShareNothing(t *testing.T) {
	first, err := configured(t, usual())
	if err != nil {
		t.Fatal(err)
	}
	other := strings.NewReplacer(`"name":"a"`, `"name":"window"`, `"send_cap":2`, `"send_cap":5,"retry_after":true`,
		"127.0.0.1:1", "127.0.0.1:3", "127.0.0.1:9", "127.0.0.1:8").Replace(usual())
	second, err := configured(t, other)
	if err != nil {
		t.Fatal(err)
	}
	settings := fmt.Sprint(first.site)
	a, b := newRelay(first), newRelay(second)
	if fmt.Sprint(first.site) != settings || reflect.DeepEqual(first.site, second.site) {
		t.Errorf("settings of the first are %v", first.site)
	}
	for _, c := range []struct {
		of       *relay
		its, not string
		unit     string
	}{{a, "a", "window", "127.0.0.1:9"}, {b, "window", "a", "127.0.0.1:8"}} {
		if _, ok := c.of.dispatcher.Accept(dispatch.Request{Class: c.its}); !ok {
			t.Errorf("%s is not taken where the settings name it", c.its)
		}
		if _, ok := c.of.dispatcher.Accept(dispatch.Request{Class: c.not}); ok {
			t.Errorf("%s is taken where the other's settings name it", c.not)
		}
		if units := c.of.dispatcher.ReadyBackends(); len(units) != 1 || units[0].Address != c.unit {
			t.Errorf("units %v, wanted %s", units, c.unit)
		}
	}
	a.dispatcher.UpdateEndpoints(true, nil)
	a.discoveryAddress.Update("127.0.0.1:7")
	if len(a.dispatcher.ReadyBackends()) != 0 || len(b.dispatcher.ReadyBackends()) != 1 {
		t.Error("what the first is told of units reaches the second")
	}
	if moved := b.discoveryAddress.Update("127.0.0.1:3"); moved {
		t.Error("the second's discovery moved with the first's")
	}
	if a.buffers == b.buffers || a.pool == b.pool || a.server == b.server || a.watcher == b.watcher || a.releaseClient == b.releaseClient ||
		a.dispatcher == b.dispatcher {
		t.Error("a part is shared")
	}
}
