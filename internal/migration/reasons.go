package migration

// moveReason says why an instance is to go somewhere, the most pressing first.
type moveReason int

// The reasons.
const (
	primaryLeaving       moveReason = iota // its primary ends, drains, or runs a version that is rolled back
	primaryEvacuating                      // its primary hands its instances on
	primaryOverCapacity                    // its primary has more than it has slots for
	tooFewReplicas                         // it stays and is copied
	deviceElsewhere                        // its device is in another zone
	tooFewRemoteReplicas                   // enough replicas, and too few of them in another zone than its primary
	noMove
)

// moveReasonTexts stand in operations. One for deviceElsewhere names the zone.
var moveReasonTexts = map[moveReason]string{
	primaryLeaving:       "its owner goes",
	primaryEvacuating:    "its owner is tired",
	primaryOverCapacity:  "its owner has too many",
	tooFewReplicas:       "too few copies",
	deviceElsewhere:      "its device is in another zone",
	tooFewRemoteReplicas: "too few copies in another zone",
}

// copiesOnly reports whether an instance is only copied for a reason, and stays.
func (r moveReason) copiesOnly() bool { return r == tooFewReplicas || r == tooFewRemoteReplicas }
