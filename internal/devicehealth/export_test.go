package devicehealth

func Defaults() map[string]float64 { return defaultSettings }
