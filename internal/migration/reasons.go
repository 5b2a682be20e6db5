package migration

// moveReason is why an instance is to be moved or copied. A smaller value is more urgent.
type moveReason int

// The reasons for moves and copies.
const (
	primaryLeaving       moveReason = iota // the instance's primary shuts down, drains, or runs a version that is being rolled back
	primaryEvacuating                      // the instance's primary evacuates
	primaryOverCapacity                    // the instance's primary has more instances than slots
	tooFewReplicas                         // the instance has too few replicas; it is copied and stays on its primary
	deviceElsewhere                        // the instance's device is in another zone
	tooFewRemoteReplicas                   // the instance has enough replicas, but too few in zones other than its primary's
	noMove
)

// moveReasonTexts are the reasons as operations state them. The operation for deviceElsewhere names the zone instead.
var moveReasonTexts = map[moveReason]string{
	primaryLeaving:       "its owner goes",
	primaryEvacuating:    "its owner is tired",
	primaryOverCapacity:  "its owner has too many",
	tooFewReplicas:       "too few copies",
	deviceElsewhere:      "its device is in another zone",
	tooFewRemoteReplicas: "too few copies in another zone",
}

// copiesOnly reports whether a reason calls for a copy while the instance stays on its primary.
func (r moveReason) copiesOnly() bool { return r == tooFewReplicas || r == tooFewRemoteReplicas }
