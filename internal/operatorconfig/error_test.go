package operatorconfig

import (
	"errors"
	"testing"
)

// TestError_IsFoundInJoinedFaults checks that errors.As gives the position of the first fault, even if the error joins
// several faults.
func TestError_IsFoundInJoinedFaults(t *testing.T) {
	_, err := OperatorTable.ReadText("f", "log_level debug\nnonsense 1\nnonsense 2\n")
	var fault *Error
	if !errors.As(err, &fault) || fault.File != "f" || fault.Line != 2 || fault.Column != 1 || fault.Directive != "nonsense" {
		t.Errorf("joined faults: got error %v", err)
	}
	if _, err := OperatorTable.ReadText("f", "log_level {\n"); !errors.As(err, &fault) || fault.Directive != "" {
		t.Errorf("syntax error: got error %v", err)
	}
}
