package releaseapi

import (
	"encoding/json"
)

// Kinds of changes.
const (
	changeStage = "stage" // where the newest version stands
	changeTally = "tally" // what the platform counted of a version's answers
	changeFlag  = "flag"  // an answer was found wrong
)

// wireChange is one line of the stream.
type wireChange struct {
	Kind   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// wireObservation is the object of a tally and of a flag.
type wireObservation struct {
	Version uint16  `json:"Revision"`
	Class   string  `json:"Lane"`
	Samples int     `json:"Samples"`
	Errors  int     `json:"Errors"`
	MeanMs  float64 `json:"MeanMs"`
	AgeMs   float64 `json:"AgeMs"`
	Backend string  `json:"InstanceId"`
}

// applyChange hands one change to the dispatcher. Kinds that are not known are skipped: a line without one keeps the stream
// alive.
func (c *Client) applyChange(line []byte) error {
	c.LinesRead.Add(1)
	var change wireChange
	if err := json.Unmarshal(line, &change); err != nil {
		return err
	}
	switch change.Kind {
	case changeStage:
		stage, err := ParseStage(change.Object)
		if err != nil {
			return err
		}
		c.dispatcher.UpdateStage(stage)
	case changeTally, changeFlag:
		var observation wireObservation
		if err := json.Unmarshal(change.Object, &observation); err != nil {
			return err
		}
		age := milliseconds(observation.AgeMs)
		if change.Kind == changeFlag {
			c.dispatcher.RecordWrongAnswer(observation.Backend, observation.Class, age)
			return nil
		}
		c.dispatcher.RecordReleaseMetrics(observation.Version, observation.Class, observation.Samples, observation.Errors, milliseconds(observation.MeanMs), age)
	}
	return nil
}
