package releaseapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"silvercove/internal/dispatch"
)

// ErrNoRevision is the error for a stage without a version.
var ErrNoRevision = errors.New("missing Revision")

// InvalidStageError is the error for a stage whose phase, stage number, exposure cap or age is not valid.
type InvalidStageError struct {
	Phase       string
	ExposureCap float64 // the exposure cap, as a fraction
}

// Error names the phase and the exposure cap.
func (e *InvalidStageError) Error() string {
	return fmt.Sprintf("invalid stage with State %q and MaxShare %v", e.Phase, e.ExposureCap)
}

// wireStage is the JSON form of the current stage of the newest version.
type wireStage struct {
	Version     *uint16 `json:"Revision"`
	Stage       int     `json:"Wave"`
	Phase       string  `json:"State"`
	ExposureCap float64 `json:"MaxShare"`
	AgeMs       float64 `json:"AgeMs"`
}

// ParseStage parses the current stage of the newest version. Its error is one of encoding/json, ErrNoRevision or an
// *InvalidStageError.
func ParseStage(text []byte) (dispatch.RolloutStage, error) {
	var wire wireStage
	if err := json.Unmarshal(text, &wire); err != nil {
		return dispatch.RolloutStage{}, err
	}
	if wire.Version == nil {
		return dispatch.RolloutStage{}, ErrNoRevision
	}
	stage := dispatch.RolloutStage{
		Version:     *wire.Version,
		Stage:       wire.Stage,
		Phase:       wire.Phase,
		ExposureCap: wire.ExposureCap,
		Age:         milliseconds(wire.AgeMs),
	}
	if !stage.Valid() {
		return dispatch.RolloutStage{}, &InvalidStageError{Phase: wire.Phase, ExposureCap: wire.ExposureCap}
	}
	return stage, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
