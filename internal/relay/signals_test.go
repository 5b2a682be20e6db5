package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/standin/backends"
)

// TestSIGTERM_AtEachSessionStep sends SIGTERM while client sessions are at different steps. The relay must answer every
// query that it has read, and must stop in time.
func TestSIGTERM_AtEachSessionStep(t *testing.T) {
	t.Run("between accept and first byte", testSIGTERMBeforeFirstByte)
	t.Run("during startups and queries, with SIGHUP before and after", testSIGTERMDuringMessages)
	t.Run("last byte in the last half second", testSIGTERMBeforeLastByte)
	t.Run("pipelined queries behind a slow one", testSIGTERMDuringPipeline)
	t.Run("on idle sessions as their queries arrive", testSIGTERMOnIdleSessions)
	t.Run("twice, with attempts at a backend that never answers, and SIGHUP with it", testSIGTERMTwice)
	t.Run("with clients that disconnect after it", testSIGTERMClientsDisconnect)
}

func testSIGTERMBeforeFirstByte(t *testing.T) {
	c := newRunningRelay(t, answerGood)
	session := c.client("")
	c.signal(syscall.SIGTERM)
	_, _ = io.WriteString(session, startup+query(1, 2000))
	session.wantGreeting()
	session.wantFinal(pgwire.StateSuccess)
	c.checkEnded()
	if n := c.backend.queries.Load(); n != 1 {
		t.Errorf("%d queries at the backend", n)
	}
}

func testSIGTERMDuringMessages(t *testing.T) {
	c := newRunningRelay(t, answerGood)
	text := startup + query("07", 2000)
	var all []*client
	for at := 1; at < len(text); at += 7 {
		all = append(all, c.client(strings.Replace(text, "id=07", fmt.Sprintf("id=%02x", at), 1)[:at]))
	}
	c.signal(syscall.SIGHUP)
	c.signal(syscall.SIGTERM)
	c.waitNotAccepting()
	c.signal(syscall.SIGHUP)
	succeeded := int64(0)
	for i, session := range all {
		at := 1 + 7*i
		_, _ = io.WriteString(session, strings.Replace(text, "id=07", fmt.Sprintf("id=%02x", at), 1)[at:])
	}
	for _, session := range all {
		session.wantGreeting()
		if session.wantFinal(pgwire.StateSuccess, pgwire.StateTooManyConnections) == pgwire.StateSuccess {
			succeeded++
		}
	}
	c.checkEnded()
	if n := c.backend.queries.Load(); n != succeeded || succeeded == 0 {
		t.Errorf("%d queries at the backend, %d succeeded", n, succeeded)
	}
}

func testSIGTERMBeforeLastByte(t *testing.T) {
	c := newRunningRelay(t, answerNothing)
	session := c.client(startup)
	session.wantGreeting()
	c.signal(syscall.SIGTERM)
	time.Sleep(time.Until(c.sigtermAt.Add(acceptGrace * 4 / 5)))
	text := query(1, 2000)
	_, _ = io.WriteString(session, text[:20])
	time.Sleep(time.Until(c.sigtermAt.Add(2*time.Second + 200*time.Millisecond))) // 2.2 s after SIGTERM; SIGKILL may follow 2.7 s after SIGTERM
	_, _ = io.WriteString(session, text[20:])
	session.wantFinal(pgwire.StateInternalError, pgwire.StateTooManyConnections)
	if at := time.Since(c.sigtermAt); at > 2700*time.Millisecond {
		t.Errorf("the response arrived %v after SIGTERM", at)
	}
	c.checkEnded()
	if n := c.backend.queries.Load(); n > 1 {
		t.Errorf("%d queries at the backend", n)
	}
}

func testSIGTERMDuringPipeline(t *testing.T) {
	answerFirst := make(chan struct{})
	c := newRunningRelay(t, func(n int) string {
		if n == 1 {
			<-answerFirst
		}
		return goodAnswer
	})
	session := c.client(startup + query(1, 2000))
	backends.Eventually(t, "the backend has the first query", func() bool { return c.backend.queries.Load() == 1 })
	_, _ = io.WriteString(session, string(pgwire.SimpleQuery("BEGIN"))+string(pgwire.SimpleQuery(""))+query(2, 2000))
	c.signal(syscall.SIGTERM)
	c.waitNotAccepting()
	close(answerFirst)
	session.wantGreeting()
	for _, state := range []string{pgwire.StateSuccess, pgwire.StateSyntaxError, pgwire.StateSuccess} {
		if got := session.answer(); got != state {
			t.Errorf("answered %q, want %q", got, state)
		}
	}
	succeeded := int64(1)
	if session.wantFinal(pgwire.StateSuccess, pgwire.StateTooManyConnections) == pgwire.StateSuccess {
		succeeded++
	}
	c.checkEnded()
	if n := c.backend.queries.Load(); n != succeeded {
		t.Errorf("%d queries at the backend, %d succeeded", n, succeeded)
	}
}

func testSIGTERMOnIdleSessions(t *testing.T) {
	c := newRunningRelay(t, answerGood)
	const sessionCount = 16
	var all [sessionCount]*client
	succeeded, unread := int64(0), 0
	for i := range all {
		all[i] = c.client(startup + query(fmt.Sprint("a", i), 2000))
		all[i].wantGreeting()
		if all[i].answer() == pgwire.StateSuccess {
			succeeded++
		}
	}
	c.signal(syscall.SIGTERM)
	for i, session := range all { // the queries arrive shortly before and after the relay begins to close sessions
		time.Sleep(time.Until(c.sigtermAt.Add(acceptGrace + time.Duration(i-sessionCount/2)*200*time.Microsecond)))
		_, _ = io.WriteString(session, query(fmt.Sprint("b", i), 2000))
	}
	for _, session := range all {
		switch state := session.answer(); state {
		case pgwire.StateSuccess:
			succeeded++
		case pgwire.StateTooManyConnections:
		case "": // the relay did not read the query, so a client could send it to another relay
			unread++
		default:
			t.Errorf("answered %q", state)
		}
	}
	c.checkEnded()
	if n := c.backend.queries.Load(); n != succeeded {
		t.Errorf("%d queries at the backend, %d succeeded, %d closed", n, succeeded, unread)
	}
}

func testSIGTERMTwice(t *testing.T) {
	c := newRunningRelay(t, answerNothing)
	first := c.client(startup + query(1, 2000))
	backends.Eventually(t, "the backend has it", func() bool { return c.backend.queries.Load() == 1 })
	second := c.client(startup + query(2, 2000))
	c.signal(syscall.SIGTERM)
	c.signal(syscall.SIGHUP)
	c.signal(syscall.SIGTERM)
	c.waitNotAccepting()
	_, _ = io.WriteString(first, query(3, 60000)) // the deadline of 60 s ends long after the time at which SIGKILL would follow
	for _, session := range []*client{first, second} {
		session.wantGreeting()
	}
	if state := first.answer(); state != pgwire.StateInternalError && state != pgwire.StateTooManyConnections {
		t.Errorf("answered %q", state)
	}
	for _, session := range []*client{first, second} {
		session.wantFinal(pgwire.StateInternalError, pgwire.StateTooManyConnections)
	}
	if at := time.Since(c.sigtermAt); at > 2700*time.Millisecond {
		t.Errorf("the response arrived %v after SIGTERM", at)
	}
	c.checkEnded()
}

func testSIGTERMClientsDisconnect(t *testing.T) {
	c := newRunningRelay(t, answerNothing)
	session := c.client(startup + query(1, 2000) + string(pgwire.SimpleQuery("BEGIN")))
	backends.Eventually(t, "the backend has it", func() bool { return c.backend.queries.Load() == 1 })
	c.signal(syscall.SIGTERM)
	c.waitNotAccepting()
	_ = session.Close()
	c.checkEnded()
	if n := c.backend.queries.Load(); n != 1 {
		t.Errorf("%d queries at the backend", n)
	}
}

func TestSignals_WhileServing(t *testing.T) {
	first, second, third := newControlPlane(t, "127.0.0.1:9"), newControlPlane(t, "127.0.0.1:9"), newControlPlane(t, "127.0.0.1:9")
	replace, listen, ended := startRelay(t, first, first)
	for range 3 { // no poll is answered, each fails within 0.45 s, and the relay then polls again
		first.want(t, "GET /v1/servers?since=3")
	}
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	replace("{}") // this configuration is invalid, so the reload changes nothing
	signal(syscall.SIGHUP)
	signal(syscall.SIGUSR1)
	replace(configText(second.Addr().String(), third.Addr().String(), first.page()))
	signal(syscall.SIGHUP)
	second.want(t, "GET /v1/servers") // the relay asks for the complete list, as the new agent may number its versions differently
	second.want(t, "GET /v1/servers?since=3")
	third.want(t, "GET /changes")
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the relay does not stop")
	}
	if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
		t.Errorf("an idle session received %q, error %v", b, err)
	}
}

// TestSignals_AfterSIGTERM sends signals while a session is still open after SIGTERM. A second SIGTERM must have no
// effect. SIGHUP must still change the discovery address, so that the relay learns which backends drain.
func TestSignals_AfterSIGTERM(t *testing.T) {
	u := newBackend(t)
	first, second := newControlPlane(t, u.Address()), newControlPlane(t, u.Address())
	replace, listen, ended := startRelay(t, first, first)
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	query := pgwire.SimpleQuery("SELECT content FROM kv WHERE name = 'k' /* id=1,c=a,t=t,d=2000 */")
	_, _ = c.Write(append(pgwire.StartupMessage(), query[:30]...))
	want := func(what []byte) {
		t.Helper()
		got := make([]byte, len(what))
		if n, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, what) {
			t.Fatalf("the relay sent %q, error %v", got[:n], err)
		}
	}
	sendSignal(t, os.Getpid(), syscall.SIGTERM)
	waitNotAccepting(t, listen)
	sendSignal(t, os.Getpid(), syscall.SIGTERM)
	replace(configText(second.Addr().String(), first.Addr().String(), first.page()))
	sendSignal(t, os.Getpid(), syscall.SIGHUP)
	second.want(t, "GET /v1/servers")
	select {
	case err := <-ended:
		t.Fatalf("the relay stopped while a message was incomplete: %v", err)
	case <-time.After(acceptGrace * 6 / 5): // longer than acceptGrace, in case the second SIGTERM has restarted that period
	}
	_, _ = c.Write(query[30:])
	want(append(pgwire.AuthenticationOK(), 'T'))
	rest, err := io.ReadAll(c)
	if err != nil || !bytes.HasSuffix(rest, pgwire.ReadyForQuery()) {
		t.Errorf("the rest of the response is %q, error %v", rest, err)
	}
	waitEnded(t, ended)
}
