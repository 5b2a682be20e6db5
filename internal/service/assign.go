package service

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"silvercove/internal/floor"
	"silvercove/internal/trust"
)

// Fetcher has metadata files from below a URL, for a walk of the client workflow.
func Fetcher(base string) trust.Get {
	client := &http.Client{Timeout: 10 * time.Second}
	return func(f trust.File) ([]byte, error) {
		resp, err := client.Get(base + f.String())
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, trust.MostTargets+1))
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusNotFound:
			return nil, nil
		case resp.StatusCode != http.StatusOK:
			return nil, fmt.Errorf("%s: status %d: %.200s", f, resp.StatusCode, text)
		}
		return text, nil
	}
}

// Assignment asks a front what its Director tells a server, and verifies that from the Director's pinned root.
func Assignment(front, server string, pinned []byte, at time.Time) ([]*trust.Target, error) {
	now := trust.Of(at)
	r, err := trust.New("director", floor.InMemory(1<<10, func(string) {}), now, pinned)
	if err != nil {
		return nil, err
	}
	if err := r.Walk(now, Fetcher(front+"/director/"+server+"/metadata/")); err != nil {
		return nil, err
	}
	all, refusal := r.Assigned(now)
	if refusal != nil {
		return nil, refusal
	}
	return all, nil
}
