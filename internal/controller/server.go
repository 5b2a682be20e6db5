package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
)

// callError is an answer that says no.
type callError struct {
	statusCode int
	controllerclient.ErrorBody
}

func (f *callError) Error() string { return f.ErrorBody.Error }

func refuse(code int, format string, args ...any) *callError {
	return &callError{code, controllerclient.ErrorBody{Error: fmt.Sprintf(format, args...)}}
}

type callerKey struct{}

// call is one call of the page of calls: in is its body, asked its query.
type call[In any] struct {
	ctx    context.Context
	caller string // the process that calls
	query  url.Values
	body   In
}

// handle reads a call, bounded in its size, and writes what became of it.
func handle[In any](f func(call[In]) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := call[In]{ctx: r.Context(), query: r.URL.Query()}
		req.caller, _ = r.Context().Value(callerKey{}).(string)
		var answer any
		var err error
		if r.Method == http.MethodPost {
			if err = json.NewDecoder(http.MaxBytesReader(w, r.Body, controllerclient.MaxBody)).Decode(&req.body); err != nil {
				err = refuse(http.StatusBadRequest, "the call can't be read: %v", err)
			}
		}
		if err == nil {
			answer, err = f(req)
		}
		code := http.StatusOK
		if err != nil {
			var f *callError
			if !errors.As(err, &f) { // raft's, or an ended context
				f = refuse(http.StatusServiceUnavailable, "%v", err)
			}
			code, answer = f.statusCode, f.ErrorBody
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code)
		_ = json.NewEncoder(w).Encode(answer) // a caller that went away needs nothing
	}
}

// serve answers calls until the context ends.
func (c *Controller) serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/lease", handle(c.handleLease))
	mux.HandleFunc("POST /v1/step", handle(c.handleOperation))
	mux.HandleFunc("POST /v1/device", handle(c.handleDevice))
	mux.HandleFunc("POST /v1/join", handle(c.handleJoin))
	mux.HandleFunc("POST /v1/confirm", handle(c.handleConfirm))
	mux.HandleFunc("GET /v1/places", handle(c.handleAssignments))
	mux.HandleFunc("GET /v1/units", handle(c.handleNodes))
	mux.HandleFunc("POST /v1/outcomes", handle(c.handleOutcomes))
	mux.HandleFunc("GET /v1/floor", handle(c.handleLastResort))
	mux.HandleFunc("GET /v1/status", handle(c.handleStatus))
	mux.HandleFunc("GET /v1/backup", c.handleBackup)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10, ErrorLog: nil,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, conn.(*peertransport.Conn).From)
		}}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	listener := c.Network.Listener(peertransport.KindHTTP)
	listener.Admit(c.connLimiter.admit)
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) { // the latter: the process's connections have ended
		return nil
	}
	return err
}

// requireLeadership is the present lead, or where it is.
func (c *Controller) requireLeadership() (*leadership, *raft.Raft, error) {
	r := c.raft.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r == nil {
		return nil, nil, refuse(http.StatusServiceUnavailable, "%s waits %s", c.name, c.waitReason)
	}
	if l := c.currentLeadership(); l != nil {
		return l, r, nil
	}
	_, leader := r.LeaderWithID()
	if string(leader) == c.name {
		return nil, nil, refuse(http.StatusServiceUnavailable, "%s begins to lead", c.name)
	}
	f := refuse(http.StatusMisdirectedRequest, "%s does not lead", c.name)
	f.Leader = string(leader)
	return nil, nil, f
}

// checkVersion refuses a call of a later version.
func checkVersion(v int) error {
	if v != controllerclient.Version {
		return refuse(http.StatusBadRequest, "version %d of the call is not spoken here, %d is", v, controllerclient.Version)
	}
	return nil
}

// isEdgeNode says whether a process is an edge unit of this keeper's file.
func (c *Controller) isEdgeNode(name string) bool {
	p, ok := c.Network.Peer(name)
	return ok && p.Role == "edge"
}
