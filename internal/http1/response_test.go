package http1

import (
	"errors"
	"strings"
	"testing"
)

func TestResponse_SplitAnywhere(t *testing.T) {
	for _, c := range []struct{ name, in, body string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nA: b\r\n\r\n", "hello"},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"informational response before", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for cut := range c.in {
				var r Response
				used, body, err := r.Read([]byte(c.in[:cut]), nil)
				if err != nil || r.Done {
					t.Fatalf("first %d bytes: %v, done %v", cut, err, r.Done)
				}
				_, body, err = r.Read([]byte(c.in[used:]), body)
				if err != nil || !r.Done || string(body) != c.body {
					t.Fatalf("cut at %d: %q, %v, done %v", cut, body, err, r.Done)
				}
			}
		})
	}
}

func TestResponse_Errors(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, in string
		want     error
	}{
		{"no HTTP", "hello\r\n\r\n", ErrMalformed},
		{"no status", "HTTP/1.1 OK\r\n\r\n", ErrMalformed},
		{"no length", head + "\r\n", ErrMalformed},
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", ErrMalformed},
		{"length and chunks", head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ErrMalformed},
		{"length below zero", head + "Content-Length: -1\r\n\r\n", ErrMalformed},
		{"other coding", head + "Transfer-Encoding: gzip\r\n\r\n", ErrMalformed},
		{"header without colon", head + "Content\r\n\r\n", ErrMalformed},
		{"chunk without size", head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", ErrMalformed},
		{"chunk longer than its size", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n", ErrMalformed},
		{"header without end", head + strings.Repeat("a: b\r\n", MaxHeader), ErrTooLong},
		{"body too long", head + "Content-Length: 99999999\r\n\r\n", ErrTooLong},
		{"chunk too long", head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", ErrTooLong},
		{"size without end", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 2000), ErrTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Response
			if _, _, err := r.Read([]byte(c.in), nil); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"), 20)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), 40)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		var once, twice Response
		_, whole, err := once.Read(in, nil)
		cut = min(max(cut, 0), len(in))
		used, body, early := twice.Read(in[:cut], nil)
		if early != nil {
			return
		}
		if _, body, late := twice.Read(in[used:], body); !errors.Is(late, err) || err == nil && string(body) != string(whole) {
			t.Errorf("cut at %d: %q %v, whole: %q %v", cut, body, late, whole, err)
		}
	})
}
