package service

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"silvercove/internal/floor"
	"silvercove/internal/trust"
)

// Assignment asks a front what its Director tells a server, and verifies that from the Director's pinned root.
func Assignment(front, server string, pinned []byte, at time.Time) ([]*trust.Target, error) {
	client := &http.Client{Timeout: 10 * time.Second}
	get := func(f trust.File) ([]byte, error) {
		resp, err := client.Get(front + "/director/" + server + "/metadata/" + f.String())
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, trust.MostTargets+1))
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusNotFound && f.Role == "root":
			return nil, nil
		case resp.StatusCode != http.StatusOK:
			return nil, fmt.Errorf("%s: status %d: %.200s", f, resp.StatusCode, text)
		}
		return text, nil
	}
	now := trust.Of(at)
	r, err := trust.New("director", floor.InMemory(1<<10, func(string) {}), now, pinned)
	if err != nil {
		return nil, err
	}
	for {
		text, err := get(trust.File{Role: "root", Version: r.Next()})
		if err != nil {
			return nil, err
		}
		if text == nil {
			break
		}
		if refusal := r.Root(now, text); refusal != nil {
			return nil, refusal
		}
	}
	for {
		f, _, ok := r.Wanted(now)
		if !ok {
			break
		}
		text, err := get(f)
		if err != nil {
			return nil, err
		}
		var refusal *trust.Refusal
		switch f.Role {
		case "timestamp":
			refusal = r.Timestamp(now, text)
		case "snapshot":
			refusal = r.Snapshot(now, text)
		case "targets":
			refusal = r.Targets(now, f.Role, text)
		default:
			return nil, fmt.Errorf("the Director's root has expired")
		}
		if refusal != nil {
			return nil, refusal
		}
	}
	all, refusal := r.Assigned(now)
	if refusal != nil {
		return nil, refusal
	}
	return all, nil
}
