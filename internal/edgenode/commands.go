package edgenode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/pgwire"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

const (
	helloTime = 5 * time.Second // for a first message to come whole
	idleTime  = 5 * time.Minute
	writeTime = 5 * time.Second
)

// serve takes connections for commands. Each carries one command at a time.
func (e *Node) serve(ctx context.Context) error {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(ctx, func() { _ = e.commands.Close() })
	defer stop()
	defer func() { _ = e.commands.Close() }() // by now, not when the other one gets to it
	places := make(chan struct{}, mostConns)
	for {
		conn, err := e.commands.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // such as too many descriptors
			e.o.Log.Warn().Str("why", err.Error()).Msg("no connection taken")
			pause(ctx, 100*time.Millisecond)
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			_ = conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
			_, _ = conn.Write(pgwire.ErrorResponse("FATAL", pgwire.StateTooManyConnections, "too many connections", ""))
			_ = conn.Close()
			continue
		}
		all.Go(func() {
			defer func() { <-places }()
			end := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
			defer end()
			defer func() { _ = conn.Close() }()
			e.session(ctx, conn)
		})
	}
}

// session is one connection: startup, then one statement after another.
func (e *Node) session(ctx context.Context, conn net.Conn) {
	var buf []byte
	in := make([]byte, 4<<10)
	more := func(limit time.Duration) bool {
		_ = conn.SetReadDeadline(time.Now().Add(limit))
		if ctx.Err() != nil {
			return false
		}
		n, err := conn.Read(in)
		buf = append(buf, in[:n]...)
		return n > 0 || err == nil
	}
	say := func(b []byte) bool {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTime))
		_, err := conn.Write(b)
		return err == nil
	}
	for greeted := false; !greeted; {
		start, size, err := pgwire.ParseStartup(buf)
		switch {
		case err != nil:
			say(pgwire.ErrorResponse("FATAL", pgwire.StateProtocolViolation, err.Error(), ""))
			return
		case size == 0:
			if !more(helloTime) {
				return
			}
		case start == pgwire.StartEncrypted:
			if buf = buf[size:]; !say(pgwire.EncryptionRefused()) {
				return
			}
		case start == pgwire.StartCancel:
			return
		default:
			buf, greeted = buf[size:], true
		}
	}
	if !say(pgwire.AuthenticationOK()) {
		return
	}
	for {
		kind, size, err := pgwire.ClientHeader(buf)
		switch {
		case err != nil:
			say(pgwire.ErrorResponse("FATAL", pgwire.StateProtocolViolation, err.Error(), ""))
			return
		case kind == 'X':
			return
		case size == 0 || len(buf) < size:
			if !more(idleTime) {
				return
			}
			continue
		case kind != 'Q':
			say(pgwire.ErrorResponse("FATAL", pgwire.StateNotSupported, "simple queries alone are spoken here", ""))
			return
		case size > pgwire.MaxQuery:
			if !say(problem(pgwire.StateLimitExceeded, "the statement is too long")) {
				return
			}
			buf = buf[size:]
			continue
		}
		text := strings.TrimSuffix(string(buf[pgwire.HeaderSize:size]), "\x00")
		if buf = buf[size:]; len(buf) == 0 {
			buf = nil
		}
		if !say(e.statement(ctx, text)) {
			return
		}
	}
}

func problem(code, text string) []byte {
	return append(pgwire.ErrorResponse("ERROR", code, text, ""), pgwire.ReadyForQuery()...)
}

// statement carries one out and words its answer.
func (e *Node) statement(ctx context.Context, text string) []byte {
	switch first, _, _ := strings.Cut(text, " "); {
	case strings.TrimSpace(text) == "":
		return pgwire.EmptyQueryResponse()
	case first == "SET" || first == "RESET" || first == "DISCARD":
		return pgwire.CommandComplete(first)
	case text == "SELECT 1":
		if why := e.unready(); why != "" {
			return problem(pgwire.StateCannotConnectNow, why)
		}
		return pgwire.DataRow([]byte("1"), "SELECT 1")
	case text == "SHOW server_load":
		e.mu.Lock()
		load := fmt.Sprintf("inflight=%d", e.busy)
		e.mu.Unlock()
		return pgwire.DataRow([]byte(load), "SHOW")
	}
	q, fault := pgwire.ParseQuery([]byte(text))
	if fault != nil {
		return problem(fault.SQLState, fault.Text)
	}
	a := e.ask(ctx, q)
	metrics.GetOrCreateCounter(outcomes[a.Outcome]).Inc()
	switch a.Outcome {
	case replica.Succeeded:
		end := "SELECT 1"
		if q.Write {
			end = "INSERT 0 1"
		}
		return pgwire.DataRow(fmt.Appendf(nil, "%d %d %s", a.Index, a.Epoch, a.Node), end)
	case replica.Rejected:
		return problem(pgwire.StateTooManyConnections, a.Detail)
	case replica.TooLarge:
		return problem(pgwire.StateLimitExceeded, a.Detail)
	}
	return problem(pgwire.StateInternalError, a.Detail)
}

var outcomes = [...]string{replica.Rejected: `cove_edge_commands_total{end="never ran"}`,
	replica.Succeeded: `cove_edge_commands_total{end="acked"}`, replica.Indeterminate: `cove_edge_commands_total{end="unknown"}`,
	replica.TooLarge: `cove_edge_commands_total{end="too large"}`}

// unready tells why a probe is turned away, "" where it is not.
func (e *Node) unready() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.owner == nil || !e.owner.HoldsLease(controllerclient.Now()):
		return "no lease"
	case e.ends || e.report.State == devicehealth.StateLeaving:
		return "it leaves"
	}
	return ""
}

// ask has a command carried out by the owner's decision.
func (e *Node) ask(ctx context.Context, q *pgwire.Query) replica.Response {
	wait := min(q.Timeout, mostWait)
	c := &replica.Request{ID: q.ID, Instance: q.Key, Write: q.Write, Body: q.Value()}
	done := make(chan replica.Response, 1)
	e.mu.Lock()
	if e.owner == nil {
		e.mu.Unlock()
		return replica.Response{Outcome: replica.Rejected, Detail: "the keepers' places are not known yet: never ran"}
	}
	e.busy++
	e.asks[c] = done
	now := controllerclient.Now()
	c.Deadline = now + tick.FromDuration(wait)
	e.owner.OnRequest(now, c)
	e.mu.Unlock()
	var a replica.Response
	select {
	case a = <-done:
	case <-ctx.Done():
		a = replica.Response{Outcome: replica.Indeterminate, Detail: "the unit ends: its effect may be kept or dropped"}
	}
	e.mu.Lock()
	delete(e.asks, c)
	e.busy--
	switch a.Outcome {
	case replica.Succeeded:
		e.strength.RecordOutcome(now, true)
	case replica.Indeterminate:
		if !a.LeaseLost { // that keepers fell, or that others own it now, says nothing of this unit's strength
			e.strength.RecordOutcome(now, false)
		}
	}
	e.mu.Unlock()
	e.stir()
	return a
}
