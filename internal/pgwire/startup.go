package pgwire

import "encoding/binary"

// Codes of startup messages: a protocol version or a request in its place (PostgreSQL manual, "Message Formats").
const (
	protocolMajor3     = 3
	cancelRequestCode  = 1234<<16 | 5678
	sslRequestCode     = 1234<<16 | 5679
	gssEncRequestCode  = 1234<<16 | 5680
	startupHeaderSize  = 8 // length and code
	majorVersionOffset = 16
)

// StartupKind is what a client's first message asks for.
type StartupKind uint8

// What a first message can be.
const (
	StartSession   StartupKind = iota // StartupMessage: a session
	StartEncrypted                    // SSLRequest or GSSENCRequest: an encrypted connection
	StartCancel                       // CancelRequest: the end of another session's query
)

// ParseStartup reads a first message: what it asks for and its size in bytes. Size 0: more bytes are needed. The error is
// ErrMalformed or ErrTooLong.
func ParseStartup(buf []byte) (kind StartupKind, size int, err error) {
	if len(buf) < startupHeaderSize {
		return 0, 0, nil
	}
	length := binary.BigEndian.Uint32(buf)
	if length < startupHeaderSize {
		return 0, 0, ErrMalformed
	}
	if length > maxStartup {
		return 0, 0, ErrTooLong
	}
	code := binary.BigEndian.Uint32(buf[lengthSize:])
	switch {
	case code == sslRequestCode, code == gssEncRequestCode:
		kind = StartEncrypted
	case code == cancelRequestCode:
		kind = StartCancel
	case code>>majorVersionOffset != protocolMajor3:
		return 0, 0, ErrMalformed
	}
	if len(buf) < int(length) {
		return 0, 0, nil
	}
	if kind == StartSession {
		parameters := buf[startupHeaderSize:length]
		if len(parameters) == 0 || parameters[len(parameters)-1] != 0 {
			return 0, 0, ErrMalformed
		}
	}
	return kind, int(length), nil
}

// StartupMessage is the startup message to a backend.
func StartupMessage() []byte {
	const parameters = "user\x00backend\x00database\x00store\x00\x00"
	b := binary.BigEndian.AppendUint32(nil, uint32(startupHeaderSize+len(parameters)))
	b = binary.BigEndian.AppendUint32(b, protocolMajor3<<majorVersionOffset)
	return append(b, parameters...)
}

// EncryptionRefused declines an encrypted connection.
func EncryptionRefused() []byte { return []byte{'N'} }

// AuthenticationOK is what a session is greeted with: AuthenticationOk, the parameters, a key that cancels nothing, and
// ReadyForQuery.
func AuthenticationOK() []byte {
	b := appendMessage(nil, BackendAuthentication, []byte{0, 0, 0, 0})
	for _, parameter := range []string{"server_version\x0015.0\x00", "client_encoding\x00UTF8\x00",
		"standard_conforming_strings\x00on\x00"} {
		b = appendMessage(b, BackendParameterStatus, []byte(parameter))
	}
	b = appendMessage(b, BackendKeyData, make([]byte, 8))
	return append(b, ReadyForQuery()...)
}
