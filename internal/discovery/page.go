package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"silvercove/internal/dispatch"
)

// ErrMissingField is the error for a page without a version or without a list of endpoints.
var ErrMissingField = errors.New("missing seq or hosts")

// InvalidEndpointError reports an entry of a page that is not a valid endpoint.
type InvalidEndpointError struct {
	Name string // name of the entry; empty if it has none
}

// Error names the invalid entry.
func (e *InvalidEndpointError) Error() string { return fmt.Sprintf("invalid entry: host %q", e.Name) }

// Page holds the complete endpoint list at a version, or the changes that lead to that version.
type Page struct {
	Version   int64
	Complete  bool // whether Endpoints is the complete list, so that every endpoint missing from it has been removed
	Endpoints []dispatch.Endpoint
}

// wirePage is the JSON form of a page.
type wirePage struct {
	Version   *int64         `json:"seq"`
	Complete  bool           `json:"whole"`
	Endpoints []wireEndpoint `json:"hosts"`
}

// wireEndpoint is the JSON form of an endpoint.
type wireEndpoint struct {
	Name        string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineKind string  `json:"class"`
	Cell        int     `json:"block"`
	State       string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedAtMs int64   `json:"born_ms"`
	Version     uint16  `json:"image_id"`
}

func (e wireEndpoint) endpoint() dispatch.Endpoint {
	return dispatch.Endpoint{
		Name:        e.Name,
		Address:     e.Address,
		Zone:        e.Zone,
		MachineKind: e.MachineKind,
		Cell:        e.Cell,
		State:       e.State,
		Weight:      e.Weight,
		StartedAtMs: e.StartedAtMs,
		Version:     e.Version,
	}
}

// ParsePage parses a page. Its error is one of encoding/json, ErrMissingField or an *InvalidEndpointError. One invalid
// entry makes the whole page invalid.
func ParsePage(text []byte) (Page, error) {
	var wire wirePage
	if err := json.Unmarshal(text, &wire); err != nil {
		return Page{}, err
	}
	if wire.Version == nil || wire.Endpoints == nil {
		return Page{}, ErrMissingField
	}
	page := Page{Version: *wire.Version, Complete: wire.Complete}
	for _, entry := range wire.Endpoints {
		endpoint := entry.endpoint()
		if !endpoint.Valid() {
			return Page{}, &InvalidEndpointError{Name: entry.Name}
		}
		page.Endpoints = append(page.Endpoints, endpoint)
	}
	return page, nil
}
