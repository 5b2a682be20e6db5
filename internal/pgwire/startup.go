package pgwire

import "encoding/binary"

// Codes of startup messages: a protocol version, or a request code in its place (PostgreSQL manual, "Message Formats").
const (
	protocolMajor3     = 3
	cancelRequestCode  = 1234<<16 | 5678
	sslRequestCode     = 1234<<16 | 5679
	gssEncRequestCode  = 1234<<16 | 5680
	startupHeaderSize  = 8 // size in bytes of the length field and the request code at the start of a startup message
	majorVersionOffset = 16
)

// StartupKind is what a client's first message requests.
type StartupKind uint8

// Kinds of first messages.
const (
	StartSession   StartupKind = iota // StartupMessage: the client requests a session
	StartEncrypted                    // SSLRequest or GSSENCRequest: the client requests encryption
	StartCancel                       // CancelRequest: the client requests the cancellation of another session's query
)

// ParseStartup reads the first message of a client. It returns what the message requests and its size in bytes. If size
// is 0, more bytes are needed. An error is ErrMalformed or ErrTooLong.
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

// StartupMessage returns the startup message for a backend.
func StartupMessage() []byte {
	const parameters = "user\x00backend\x00database\x00store\x00\x00"
	b := binary.BigEndian.AppendUint32(nil, uint32(startupHeaderSize+len(parameters)))
	b = binary.BigEndian.AppendUint32(b, protocolMajor3<<majorVersionOffset)
	return append(b, parameters...)
}

// EncryptionRefused returns the answer that declines an encrypted connection.
func EncryptionRefused() []byte { return []byte{'N'} }

// AuthenticationOK returns the messages that greet a new session: AuthenticationOk, the parameters, a BackendKeyData
// whose key cancels nothing, and ReadyForQuery.
func AuthenticationOK() []byte {
	b := appendMessage(nil, BackendAuthentication, []byte{0, 0, 0, 0})
	for _, parameter := range []string{"server_version\x0015.0\x00", "client_encoding\x00UTF8\x00",
		"standard_conforming_strings\x00on\x00"} {
		b = appendMessage(b, BackendParameterStatus, []byte(parameter))
	}
	b = appendMessage(b, BackendKeyData, make([]byte, 8))
	return append(b, ReadyForQuery()...)
}
