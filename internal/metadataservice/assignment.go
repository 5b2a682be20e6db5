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

// fetchTimeout is the timeout for fetching one metadata file.
const fetchTimeout = 10 * time.Second

// Fetcher returns a function that fetches metadata files for tufverify's client workflow. base is a URL to which the file name
// is appended.
func Fetcher(base string) tufverify.FetchFunc {
	client := &http.Client{Timeout: fetchTimeout}
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

// PartialAssignment returns the assignment that a server finds by partial verification, which verifies only the Director's targets
// (Uptane Standard 2.1, section 5.4.4.1). The timestamp only gives the version of the targets to fetch and is not verified. pinned
// is the Director's pinned root, and at is the time of the verification.
func PartialAssignment(proxyURL, server string, pinned []byte, at time.Time) ([]*tufverify.Target, error) {
	get := Fetcher(proxyURL + "/director/" + server + "/metadata/")
	root, err := (&metadata.Metadata[metadata.RootType]{}).FromBytes(pinned)
	if err != nil {
		return nil, err
	}
	var timestamp struct{ Signed struct{ Version int64 } }
	text, err := get(tufverify.File{Role: "timestamp"})
	if err == nil {
		err = json.Unmarshal(text, &timestamp)
	}
	if err == nil {
		text, err = get(tufverify.File{Role: "targets", Version: timestamp.Signed.Version})
	}
	if err != nil {
		return nil, err
	}
	targets, refusal := tufverify.VerifyPartial(tufverify.FromTime(at), monotonic.NewMemoryStore(16), "director", root, text, server)
	if refusal != nil {
		return nil, refusal
	}
	return targets, nil
}

// Assignment asks a proxy which targets its Director assigns a server, and verifies the answer starting from the Director's pinned
// root.
func Assignment(proxyURL, server string, pinned []byte, at time.Time) ([]*tufverify.Target, error) {
	now := tufverify.FromTime(at)
	r, err := tufverify.New("director", monotonic.NewMemoryStore(1<<10), now, pinned)
	if err != nil {
		return nil, err
	}
	if err := r.Refresh(now, Fetcher(proxyURL+"/director/"+server+"/metadata/")); err != nil {
		return nil, err
	}
	targets, refusal := r.AssignedTargets(now)
	if refusal != nil {
		return nil, refusal
	}
	return targets, nil
}
