package edgenode

import (
	"encoding/json"
	"strings"
	"testing"

	"silvercove/internal/controllerclient"
)

func TestPeerServer_InventoryAndMessages(t *testing.T) {
	c := newServingFleet(t, 2, true, "edge-b")
	caller := c.processes["edge-a"].node
	client := caller.options.Network.Client()
	defer client.CloseIdleConnections()
	// The controllers agree that edge-b is a replica before edge-b learns it, so the first inventories may not show it yet.
	c.waitFor("edge-b reports its replica", func() bool {
		answer, err := client.Get("http://edge-b/v1/holds")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = answer.Body.Close() }()
		var inventory controllerclient.Inventory
		if err := json.NewDecoder(answer.Body).Decode(&inventory); err != nil || inventory.Node != "edge-b" || len(inventory.Copies) != 1 ||
			inventory.Copies[0].Index != 1 || inventory.Copies[0].IsPrimary {
			t.Fatalf("%+v %v", inventory, err)
		}
		return inventory.Copies[0].IsReplica
	})
	for text, code := range map[string]int{"{": 400, `{"v":1,"kind":"stop","name":"x"}`: 400, `{"v":9,"kind":"effect","name":"x"}`: 422} {
		answer, err := client.Post("http://edge-b/v1/effect", "application/json", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		if answer.StatusCode != code {
			t.Errorf("%s: %d, not %d", text, answer.StatusCode, code)
		}
	}
}
