package relay

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"silvercove/internal/dispatch"
)

// TestNewRelay_NoSharedState checks that two relays in one process share no state. Each has a configuration of its own,
// as the relays of two customers would.
func TestNewRelay_NoSharedState(t *testing.T) {
	first, err := readTestConfig(t, defaultConfigText())
	if err != nil {
		t.Fatal(err)
	}
	secondText := strings.NewReplacer(`"name":"a"`, `"name":"window"`, `"send_cap":2`, `"send_cap":5,"retry_after":true`,
		"127.0.0.1:1", "127.0.0.1:3", "127.0.0.1:9", "127.0.0.1:8").Replace(defaultConfigText())
	second, err := readTestConfig(t, secondText)
	if err != nil {
		t.Fatal(err)
	}
	settings := fmt.Sprint(first.site)
	a, b := newRelay(first), newRelay(second)
	if fmt.Sprint(first.site) != settings || reflect.DeepEqual(first.site, second.site) {
		t.Errorf("settings of the first relay are %v", first.site)
	}
	for _, c := range []struct {
		of       *relay
		its, not string
		backend  string
	}{{a, "a", "window", "127.0.0.1:9"}, {b, "window", "a", "127.0.0.1:8"}} {
		if _, ok := c.of.dispatcher.Accept(dispatch.Request{Class: c.its}); !ok {
			t.Errorf("class %s is not accepted by the relay whose settings name it", c.its)
		}
		if _, ok := c.of.dispatcher.Accept(dispatch.Request{Class: c.not}); ok {
			t.Errorf("class %s is accepted by the relay whose settings do not name it", c.not)
		}
		if ready := c.of.dispatcher.ReadyBackends(); len(ready) != 1 || ready[0].Address != c.backend {
			t.Errorf("backends %v, want %s", ready, c.backend)
		}
	}
	a.dispatcher.UpdateEndpoints(true, nil)
	a.discoveryAddress.Update("127.0.0.1:7")
	if len(a.dispatcher.ReadyBackends()) != 0 || len(b.dispatcher.ReadyBackends()) != 1 {
		t.Error("an endpoint update of the first relay reaches the second")
	}
	if moved := b.discoveryAddress.Update("127.0.0.1:3"); moved {
		t.Error("the discovery address of the second relay changed with the first's")
	}
	if a.buffers == b.buffers || a.pool == b.pool || a.server == b.server || a.watcher == b.watcher || a.releaseClient == b.releaseClient ||
		a.dispatcher == b.dispatcher {
		t.Error("the relays share a component")
	}
}
