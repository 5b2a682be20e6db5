package devicepower

import "silvercove/internal/devicehealth"

// radioUnblocked is the state of an rfkill switch whose radio is on; 0 means blocked by software, and 2 blocked by hardware.
const radioUnblocked = 1

// readRadios reads from the folder rfkill whether each radio that carries data is on. If the folder cannot be listed,
// there are no readings, as a node need not have radios.
func readRadios(files fileSource) (readings []devicehealth.Reading) {
	names, _ := files.listDir("rfkill")
	for _, name := range names {
		d := device{files, "rfkill/" + name}
		kind, err := d.text("type")
		if err != nil || kind != "wlan" && kind != "wwan" {
			continue
		}
		state, err := d.number("state")
		on := 0.0
		if state == radioUnblocked {
			on = 1
		}
		readings = append(readings, newReading(name, devicehealth.KindRadio, on, err))
	}
	return readings
}
