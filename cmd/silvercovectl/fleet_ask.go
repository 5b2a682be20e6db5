package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"time"

	"silvercove/internal/pgwire"
)

type fleetAskCmd struct {
	Relay    string        `arg:"" help:"HOST:PORT where the relay's clients connect."`
	Instance string        `arg:"" help:"The instance, such as camera-7."`
	Class    string        `name:"op-type" default:"crop" help:"Request class."`
	Read     bool          `help:"Read the last effect instead of writing one."`
	Wait     time.Duration `default:"2s" help:"How long to wait for each answer."`
	For      time.Duration `default:"10s" help:"How long to retry a refused request; a refused request had no effect."`
}

// Run sends one request as a client of a relay would and prints the answer. It retries the request while the relay
// refuses it, for the time For.
func (c *fleetAskCmd) Run() error {
	for end := time.Now().Add(c.For); ; time.Sleep(askRetryInterval) {
		answer, err := sendRequest(c.Relay, c.Instance, c.Class, c.Read, c.Wait)
		if err == nil {
			fmt.Println(answer)
			return nil
		}
		if !errors.Is(err, errRefused) || time.Now().After(end) {
			return err
		}
	}
}

// askRetryInterval is the pause before a refused request is sent again.
const askRetryInterval = 200 * time.Millisecond

// errRefused is wrapped by the errors of requests that did not run. A request that did not run can be retried safely.
var errRefused = errors.New("refused")

// sendRequest opens a session with a relay, sends one request and returns its answer. The error wraps errRefused if the
// request did not run. After any other error the request may have run.
func sendRequest(relay, instance, class string, read bool, wait time.Duration) (string, error) {
	var id [8]byte
	rand.Read(id[:])
	text := fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x00') RETURNING content", instance)
	if read {
		text = fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'", instance)
	}
	text += fmt.Sprintf(" /* id=%x,c=%s,t=covectl,d=%d */", id, class, wait.Milliseconds())
	if _, fault := pgwire.ParseQuery([]byte(text)); fault != nil {
		return "", fmt.Errorf("%s: %s", instance, fault.Text)
	}
	conn, err := net.DialTimeout("tcp", relay, wait)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errRefused, err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(wait + time.Second))
	var received []byte
	exchange := func(message []byte) (response pgwire.Response, err error) {
		if _, err = conn.Write(message); err != nil {
			return response, err
		}
		for b := make([]byte, 4<<10); !response.Ready && !response.Fatal; {
			n, err := conn.Read(b)
			if received = append(received, b[:n]...); err != nil {
				return response, fmt.Errorf("no answer: %w", err)
			}
			if err := response.Read(received); err != nil {
				return response, err
			}
		}
		return response, nil
	}
	response, err := exchange(pgwire.StartupMessage())
	if err != nil {
		return "", err
	}
	received = received[response.Consumed:]
	switch response, err = exchange(pgwire.SimpleQuery(text)); {
	case err != nil:
		return "", err
	case response.SQLState == pgwire.StateTooManyConnections:
		return "", fmt.Errorf("%w: SQLSTATE %s", errRefused, response.SQLState)
	case response.SQLState != pgwire.StateSuccess || len(response.RowMessages) != 3:
		return "", fmt.Errorf("the request failed and may have run: SQLSTATE %s", response.SQLState)
	}
	value, ok := pgwire.RowValue(response.RowMessages[1].Of(received))
	if !ok {
		return "", fmt.Errorf("the answer has no value")
	}
	return string(value), nil
}
