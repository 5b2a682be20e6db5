package releaseapi

import (
	"encoding/json"
)

// The kinds of changes.
const (
	changeStage = "stage" // the current stage of the newest version
	changeTally = "tally" // attempts, failures and mean latency that the platform counted for a version and class
	changeFlag  = "flag"  // a report that a backend gave a wrong answer
)

// wireChange is one line of the stream of changes.
type wireChange struct {
	Kind   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// wireObservation is the JSON object of a change whose kind is changeTally or changeFlag.
type wireObservation struct {
	Version uint16  `json:"Revision"`
	Class   string  `json:"Lane"`
	Samples int     `json:"Samples"`
	Errors  int     `json:"Errors"`
	MeanMs  float64 `json:"MeanMs"`
	AgeMs   float64 `json:"AgeMs"`
	Backend string  `json:"InstanceId"`
}

// applyChange parses a change and passes it to the dispatcher. It skips a change of an unknown kind, and a line without a
// kind, which the platform sends to keep the stream alive.
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
