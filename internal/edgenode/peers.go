package edgenode

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

const (
	mostMessage = 4 << 20 // bytes of a message between units
	mostCalls   = 1024    // of other units at a time
)

// send brings messages to one other unit.
func (e *Node) send(ctx context.Context, client *http.Client, to string, queue chan replica.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			answer, err := e.post(ctx, client, to, m)
			if err != nil || answer == nil {
				continue // as if lost: the owner sends again
			}
			e.mu.Lock()
			e.owner.OnMessage(controllerclient.Now(), to, *answer)
			e.mu.Unlock()
			e.stir()
		}
	}
}

func (e *Node) post(ctx context.Context, client *http.Client, to string, m replica.Message) (*replica.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, e.lease.Duration())
	defer cancel()
	text, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/v1/"+m.Kind, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err = io.ReadAll(io.LimitReader(answer.Body, mostMessage))
	if err != nil {
		return nil, err
	}
	var got replica.Message
	if err := json.Unmarshal(text, &got); err != nil {
		return nil, err
	}
	return &got, nil
}

type fromKey struct{}

// answerPeers answers other processes' calls.
func (e *Node) answerPeers(ctx context.Context) error {
	mux := http.NewServeMux()
	for _, kind := range []string{replica.MessageCatchUp, replica.MessageAppend, replica.MessageFinalAppend} {
		mux.HandleFunc("POST /v1/"+kind, func(w http.ResponseWriter, r *http.Request) { e.heard(w, r, kind) })
	}
	mux.HandleFunc("GET /v1/holds", func(w http.ResponseWriter, _ *http.Request) {
		h := controllerclient.Inventory{Version: placement.FormatVersion, Node: e.self, Incarnation: e.run, Lineage: e.client.Lineage(), Copies: []replica.CopyStatus{}}
		e.mu.Lock()
		if e.owner != nil {
			h.Copies = append(h.Copies, e.owner.Copies(controllerclient.Now())...)
		}
		for _, r := range e.records { // not heard of any place since its start: whether they are counted on is not known
			h.Copies = append(h.Copies, replica.CopyStatus{Instance: r.Instance, Epoch: r.LastEpoch(), Index: r.LastIndex(), LastEpoch: r.LastEpoch(), Checksum: r.Checksum(),
				Size: r.Size()})
		}
		e.mu.Unlock()
		reply(w, http.StatusOK, h)
	})
	calls := make(chan struct{}, mostCalls)
	server := &http.Server{ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if p, ok := c.(*peertransport.Conn); ok {
				ctx = context.WithValue(ctx, fromKey{}, p.From)
			}
			return ctx
		},
		BaseContext: func(net.Listener) context.Context { return ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case calls <- struct{}{}:
				defer func() { <-calls }()
				mux.ServeHTTP(w, r)
			default:
				http.Error(w, "too many calls", http.StatusServiceUnavailable)
			}
		})}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(e.o.Net.Listener(peertransport.KindHTTP))
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func reply(w http.ResponseWriter, code int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(text)
}

// heard answers a message of another unit once all that it brought is safe.
func (e *Node) heard(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := r.Context().Value(fromKey{}).(string)
	refuse := func(code int, why string) {
		reply(w, code, replica.Message{Version: placement.FormatVersion, Kind: replica.MessageRejected, Instance: "?", SenderIncarnation: e.run, Reason: why})
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostMessage))
	if err != nil {
		refuse(http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var m replica.Message
	if err := json.Unmarshal(text, &m); err != nil {
		refuse(http.StatusBadRequest, err.Error())
		return
	}
	if m.Kind != kind {
		refuse(http.StatusBadRequest, fmt.Sprintf("a message %q at %s", m.Kind, kind))
		return
	}
	done := make(chan replica.Message, 1)
	e.mu.Lock()
	if e.owner == nil {
		e.mu.Unlock()
		refuse(http.StatusServiceUnavailable, "the keepers' places are not known yet")
		return
	}
	e.mark++
	m.ReplyTo = e.mark
	e.waits[m.ReplyTo] = done
	e.owner.OnMessage(controllerclient.Now(), from, m)
	e.mu.Unlock()
	timer := time.NewTimer(e.lease.Duration())
	defer timer.Stop()
	select {
	case answer := <-done:
		code := http.StatusOK
		switch answer.Kind {
		case replica.MessageStaleEpoch:
			code = http.StatusConflict
		case replica.MessageRejected:
			code = http.StatusUnprocessableEntity
		}
		reply(w, code, answer)
		return
	case <-timer.C:
	case <-r.Context().Done():
	}
	e.mu.Lock()
	delete(e.waits, m.ReplyTo)
	e.mu.Unlock()
	refuse(http.StatusServiceUnavailable, "the disk is slow")
}
