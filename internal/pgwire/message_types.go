package pgwire

// Types of the messages that a client sends: the first byte of each (PostgreSQL manual, "Message Formats").
const (
	FrontendQuery        = 'Q'
	FrontendTerminate    = 'X'
	FrontendParse        = 'P'
	FrontendBind         = 'B'
	FrontendDescribe     = 'D'
	FrontendExecute      = 'E'
	FrontendClose        = 'C'
	FrontendFlush        = 'H'
	FrontendFunctionCall = 'F'
	FrontendSync         = 'S'
	FrontendCopyData     = 'd'
	FrontendCopyDone     = 'c'
	FrontendCopyFail     = 'f'
)

// Types of the messages that a server sends: the first byte of each.
const (
	BackendAuthentication     = 'R'
	BackendParameterStatus    = 'S'
	BackendKeyData            = 'K'
	BackendReadyForQuery      = 'Z'
	BackendRowDescription     = 'T'
	BackendDataRow            = 'D'
	BackendCommandComplete    = 'C'
	BackendEmptyQueryResponse = 'I'
	BackendErrorResponse      = 'E'
	BackendNoticeResponse     = 'N'
)

// Severities of an ErrorResponse. FATAL and PANIC end the session.
const (
	SeverityError = "ERROR"
	SeverityFatal = "FATAL"
	SeverityPanic = "PANIC"
)
