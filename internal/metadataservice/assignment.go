package metadataservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/monotonic"
	"silvercove/internal/tufverify"
)

// Fetcher has metadata files from below a URL, for a walk of the client workflow.
func Fetcher(base string) tufverify.Get {
	client := &http.Client{Timeout: 10 * time.Second}
	return func(f tufverify.File) ([]byte, error) {
		resp, err := client.Get(base + f.String())
		if err != nil {
			return nil, err
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(io.LimitReader(resp.Body, tufverify.MaxTargetsSize+1))
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

// PartialAssignment is what a server finds that verifies the Director's targets alone (partial verification): it
// trusts the timestamp and snapshot for no more than the version to ask for.
func PartialAssignment(front, server string, pinned []byte, at time.Time) ([]*tufverify.Target, error) {
	get := Fetcher(front + "/director/" + server + "/metadata/")
	root, err := (&metadata.Metadata[metadata.RootType]{}).FromBytes(pinned)
	if err != nil {
		return nil, err
	}
	var stamp struct{ Signed struct{ Version int64 } }
	text, err := get(tufverify.File{Role: "timestamp"})
	if err == nil {
		err = json.Unmarshal(text, &stamp)
	}
	if err == nil {
		text, err = get(tufverify.File{Role: "targets", Version: stamp.Signed.Version})
	}
	if err != nil {
		return nil, err
	}
	all, refusal := tufverify.VerifyPartial(tufverify.FromTime(at), monotonic.NewMemoryStore(16), "director", root, text, server)
	if refusal != nil {
		return nil, refusal
	}
	return all, nil
}

// Assignment asks a front what its Director tells a server, and verifies that from the Director's pinned root.
func Assignment(front, server string, pinned []byte, at time.Time) ([]*tufverify.Target, error) {
	now := tufverify.FromTime(at)
	r, err := tufverify.New("director", monotonic.NewMemoryStore(1<<10), now, pinned)
	if err != nil {
		return nil, err
	}
	if err := r.Refresh(now, Fetcher(front+"/director/"+server+"/metadata/")); err != nil {
		return nil, err
	}
	all, refusal := r.Assigned(now)
	if refusal != nil {
		return nil, refusal
	}
	return all, nil
}
