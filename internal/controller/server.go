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

// Limits of the HTTP server of the calls.
const (
	callHeaderTimeout = 5 * time.Second
	callReadTimeout   = 10 * time.Second
	callIdleTimeout   = time.Minute
	maxCallHeader     = 8 << 10 // bytes
)

// callError is the answer to a call that is refused.
type callError struct {
	statusCode int // of HTTP
	controllerclient.ErrorBody
}

// Error is the text that the caller is told.
func (e *callError) Error() string { return e.ErrorBody.Error }

// refuse refuses a call with a status code of HTTP and a text.
func refuse(statusCode int, format string, args ...any) *callError {
	return &callError{statusCode, controllerclient.ErrorBody{Error: fmt.Sprintf(format, args...)}}
}

// callerKey is the key of a request's context under which the name of the calling process stands.
type callerKey struct{}

// call is one call of another process.
type call[In any] struct {
	ctx    context.Context
	caller string // the name of the calling process
	query  url.Values
	body   In
}

// handle decodes a call, bounded in its size, and encodes the answer. A callError is answered with its code, any other error,
// which is raft's or that of an ended context, with 503: the caller tries again.
func handle[In, Out any](f func(call[In]) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := call[In]{ctx: r.Context(), query: r.URL.Query()}
		req.caller, _ = r.Context().Value(callerKey{}).(string)
		if r.Method == http.MethodPost {
			body := http.MaxBytesReader(w, r.Body, controllerclient.MaxBodyBytes)
			if err := json.NewDecoder(body).Decode(&req.body); err != nil {
				writeError(w, refuse(http.StatusBadRequest, "the call can't be read: %v", err))
				return
			}
		}
		response, err := f(req)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	}
}

// writeError answers a call that failed.
func writeError(w http.ResponseWriter, err error) {
	var refusal *callError
	if !errors.As(err, &refusal) {
		refusal = refuse(http.StatusServiceUnavailable, "%v", err)
	}
	writeJSON(w, refusal.statusCode, refusal.ErrorBody)
}

// writeJSON answers a call. A caller that went away needs nothing.
func writeJSON(w http.ResponseWriter, statusCode int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCode)
	_ = json.NewEncoder(w).Encode(body)
}

// serve answers calls until the context ends, and returns nil then.
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
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: callHeaderTimeout,
		ReadTimeout:       callReadTimeout,
		IdleTimeout:       callIdleTimeout,
		MaxHeaderBytes:    maxCallHeader,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, conn.(*peertransport.Conn).From)
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // what its connections were doing has ended with the context
	defer stop()
	listener := c.Network.Listener(peertransport.KindHTTP)
	listener.Admit(c.connLimiter.admit)
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) { // the latter: the process's connections have ended
		return nil
	}
	return err
}

// requireLeadership returns the present span of leadership, and refuses the call where another controller leads, with its
// name, or where none is known.
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
	refusal := refuse(http.StatusMisdirectedRequest, "%s does not lead", c.name)
	refusal.Leader = string(leader)
	return nil, nil, refusal
}

// checkVersion refuses a call of another version.
func checkVersion(version int) error {
	if version != controllerclient.Version {
		return refuse(http.StatusBadRequest, "version %d of the call is not spoken here, %d is", version, controllerclient.Version)
	}
	return nil
}
