package operatorconfig

import (
	"errors"
	"testing"
)

// A caller finds the place of a fault by errors.As, also where several are joined.
func TestError_IsFoundInJoinedFaults(t *testing.T) {
	_, err := OperatorTable.ReadText("f", "log_level debug\nnonsense 1\nnonsense 2\n")
	var fault *Error
	if !errors.As(err, &fault) || fault.File != "f" || fault.Line != 2 || fault.Column != 1 || fault.Directive != "nonsense" {
		t.Errorf("%v", err)
	}
	if _, err := OperatorTable.ReadText("f", "log_level {\n"); !errors.As(err, &fault) || fault.Directive != "" {
		t.Errorf("a fault of the syntax: %v", err)
	}
}
