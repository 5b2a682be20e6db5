// Package devicepower reads an edge node's power, temperature and radios from a folder in the layout that Linux documents
// for sysfs: power_supply (Documentation/ABI/testing/sysfs-class-power: micro-volts, micro-amperes, micro-watts, tenths
// of a degree), thermal (sysfs-class-thermal: thousandths of a degree) and rfkill. It decides nothing: a value that
// cannot be read becomes a reading that is not OK, with the reason.
//
// A Reader reads one folder periodically and keeps the newest readings. FromFiles reads files in memory, for simulations.
package devicepower
