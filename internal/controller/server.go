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

// Limits of the HTTP server that answers calls.
const (
	callHeaderTimeout = 5 * time.Second
	callReadTimeout   = 10 * time.Second
	callIdleTimeout   = time.Minute
	maxCallHeader     = 8 << 10 // maximum size of a call's HTTP header in bytes
)

// callError is the error response to a refused call.
type callError struct {
	statusCode int // HTTP status code
	controllerclient.ErrorBody
}

// Error returns the error text of the response body.
func (e *callError) Error() string { return e.ErrorBody.Error }

// refuse returns the error response with an HTTP status code and a formatted text.
func refuse(statusCode int, format string, args ...any) *callError {
	return &callError{statusCode, controllerclient.ErrorBody{Error: fmt.Sprintf(format, args...)}}
}

// callerKey is the context key of the calling process's name.
type callerKey struct{}

// call is a decoded HTTP request of another process.
type call[In any] struct {
	ctx    context.Context
	caller string // the name of the calling process
	query  url.Values
	body   In
}

// handle returns an HTTP handler that decodes a call with a body of at most MaxBodyBytes bytes, calls f and encodes the
// response. If f returns a callError, the response has that error's status code. Any other error comes from raft or from an
// ended context; the response then has status 503, so that the caller retries.
func handle[In, Out any](f func(call[In]) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := call[In]{ctx: r.Context(), query: r.URL.Query()}
		req.caller, _ = r.Context().Value(callerKey{}).(string)
		if r.Method == http.MethodPost {
			body := http.MaxBytesReader(w, r.Body, controllerclient.MaxBodyBytes)
			if err := json.NewDecoder(body).Decode(&req.body); err != nil {
				writeError(w, refuse(http.StatusBadRequest, "invalid request body: %v", err))
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

// writeError writes the response to a failed call.
func writeError(w http.ResponseWriter, err error) {
	var refusal *callError
	if !errors.As(err, &refusal) {
		refusal = refuse(http.StatusServiceUnavailable, "%v", err)
	}
	writeJSON(w, refusal.statusCode, refusal.ErrorBody)
}

// writeJSON writes a response as JSON. An encoding error is ignored: it means that the caller has closed the connection.
func writeJSON(w http.ResponseWriter, statusCode int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCode)
	_ = json.NewEncoder(w).Encode(body)
}

// serve answers calls until the context ends, and then returns nil.
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
	// An error of Close does not matter, because ctx has ended. The contexts of all calls derive from ctx.
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	listener := c.Network.Listener(peertransport.KindHTTP)
	listener.SetAdmission(c.connLimiter.admit)
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) { // net.ErrClosed means that the process's Network has ended
		return nil
	}
	return err
}

// requireLeadership returns the current leadership. If this controller does not lead, it refuses the call and names the
// leader, if one is known.
func (c *Controller) requireLeadership() (*leadership, *raft.Raft, error) {
	r := c.raft.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r == nil {
		return nil, nil, refuse(http.StatusServiceUnavailable, "%s is waiting %s", c.name, c.waitReason)
	}
	if l := c.currentLeadership(); l != nil {
		return l, r, nil
	}
	_, leader := r.LeaderWithID()
	if string(leader) == c.name {
		return nil, nil, refuse(http.StatusServiceUnavailable, "%s is becoming the leader", c.name)
	}
	refusal := refuse(http.StatusMisdirectedRequest, "%s is not the leader", c.name)
	refusal.Leader = string(leader)
	return nil, nil, refusal
}

// checkVersion refuses a call of another protocol version.
func checkVersion(version int) error {
	if version != controllerclient.Version {
		return refuse(http.StatusBadRequest, "protocol version %d is not supported, only %d is", version, controllerclient.Version)
	}
	return nil
}
