package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxWatch is the longest time that a watch may ask to wait.
const maxWatch = time.Minute

// runAgent is a discovery agent whose list never changes: each server is up. It answers a call for the whole list at once,
// and a watch with no changes after the time that the call names.
//
// Arguments: ADDRESS, then the name of each server.
func runAgent(args []string) error {
	hosts := []map[string]any{}
	for _, name := range args[1:] {
		hosts = append(hosts, map[string]any{"host": name, "dial": "127.0.0.1:9", "site": "z1", "class": "large", "block": 0,
			"health": "up", "share": 1.0, "born_ms": 0, "image_id": 1})
	}
	handler := http.NewServeMux()
	handler.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, r *http.Request) {
		whole, list := true, hosts
		if r.URL.Query().Get("since") != "" {
			whole, list = false, []map[string]any{}
			wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
			select {
			case <-time.After(min(wait, maxWatch)):
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"seq": 5, "whole": whole, "hosts": list})
	})
	return http.ListenAndServe(args[0], handler)
}
