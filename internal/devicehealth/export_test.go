package devicehealth

func DefaultSettings() map[string]float64 { return defaultSettings }
