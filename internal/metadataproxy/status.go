package metadataproxy

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
)

// Counts are the proxy's counters since its start. They are safe for concurrent use. The zero value is ready to use.
type Counts struct {
	Requests   atomic.Int64 // requests received
	CacheHits  atomic.Int64 // metadata files served without asking a mirror
	Served     atomic.Int64 // files served whole
	Refused    atomic.Int64 // requests answered without a file
	Aborted    atomic.Int64 // downloads aborted after their header was sent
	Overloaded atomic.Int64 // requests refused because too many were in flight
	Reports    atomic.Int64 // version reports accepted
	Bytes      atomic.Int64 // body bytes sent
}

// Status is the response of /status. The JSON names are part of the HTTP interface.
type Status struct {
	Requests     int64 `json:"Asked"`   // requests received
	CacheHits    int64 `json:"Held"`    // metadata files served without asking a mirror
	Served       int64 `json:"Given"`   // files served whole
	Refused      int64 `json:"Refused"` // requests answered without a file
	Aborted      int64 `json:"Spoilt"`  // downloads aborted after their header was sent
	Overloaded   int64 `json:"Crowded"` // requests refused because too many were in flight
	Reports      int64 `json:"Reports"` // version reports accepted
	Bytes        int64 `json:"Bytes"`   // body bytes sent
	InFlight     int   `json:"In"`      // requests that are waiting for mirrors or downloading a package
	Repositories []RepoStatus

	Servers    int   `json:"Fleet"`  // servers listed
	Assigned   int   `json:"Told"`   // servers assigned the newest version
	MayInstall int   `json:"MayAct"` // servers that may install the newest version
	Issued     int64 `json:"Issued"` // versions of servers' metadata issued
}

// Status reads the counters and the state of the repositories and the Director.
func (p *Proxy) Status() Status {
	p.mu.Lock()
	inFlight := p.limiter.InUse()
	p.mu.Unlock()
	counters := &p.Counts
	s := Status{Requests: counters.Requests.Load(), CacheHits: counters.CacheHits.Load(), Served: counters.Served.Load(), Refused: counters.Refused.Load(),
		Aborted: counters.Aborted.Load(), Overloaded: counters.Overloaded.Load(), Reports: counters.Reports.Load(), Bytes: counters.Bytes.Load(), InFlight: inFlight}
	for _, name := range slices.Sorted(maps.Keys(p.repositories)) {
		s.Repositories = append(s.Repositories, p.repositories[name].status())
	}
	if p.director != nil {
		counts := p.director.Count()
		s.Servers, s.Assigned, s.MayInstall = counts.Servers, counts.Assigned, counts.MayInstall
		s.Issued = p.director.IssuedCount()
	}
	return s
}

func (p *Proxy) serveStatus(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(p.Status())
}
