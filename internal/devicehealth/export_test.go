package devicehealth

// DefaultSettings returns the settings' defaults.
func DefaultSettings() map[string]float64 { return defaultSettings }
