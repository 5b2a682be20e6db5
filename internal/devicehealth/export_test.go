package devicehealth

// DefaultSettings returns the defaults of the settings, by name without the prefix "fleet.".
func DefaultSettings() map[string]float64 { return defaultSettings }
