package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"silvercove/internal/dispatch"
)

// ErrMissingField tells that a page has no version or no list of endpoints.
var ErrMissingField = errors.New("no seq or no hosts")

// InvalidEndpointError tells that an entry of a page cannot be an endpoint.
type InvalidEndpointError struct {
	Name string // of the entry; empty where it has none
}

// Error names the entry.
func (e *InvalidEndpointError) Error() string { return fmt.Sprintf("host %q makes no sense", e.Name) }

// Page is the endpoint list at a version, or the changes that led to it.
type Page struct {
	Version   int64
	Complete  bool // the whole list: endpoints that it does not name are gone
	Endpoints []dispatch.Endpoint
}

// wirePage is a page as discovery words it.
type wirePage struct {
	Version   *int64         `json:"seq"`
	Complete  bool           `json:"whole"`
	Endpoints []wireEndpoint `json:"hosts"`
}

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

// ParsePage reads a page. It returns an error of encoding/json, ErrMissingField or an *InvalidEndpointError; nothing of a
// page with one invalid entry is taken.
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
