package operatorconfig

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
)

// Kind is what a value must be. The zero value is Word.
type Kind uint8

// The kinds of values. A Duration is read as seconds, a Size as bytes, a Fraction as a part of 1, each as a float64, as are
// Number and Decimal; all others are strings, but Words, which is a list of strings.
const (
	Word     Kind = iota // any text
	Name                 // letters, digits, ".", "-", "_"
	Number               // a whole number
	Duration             // a duration: 250ms, 10s, 5m, 2h, 7d
	Size                 // bytes: 512, 64K, 16M, 1G
	Fraction             // 0.1 or 10%
	Address              // host:port, the host an address or a name
	Path                 // a file or folder
	Choice               // one of a list
	Decimal              // any number of 0 or more
	Words                // one word or more; only as the last value
)

// kindNames are what is allowed by each kind, for people.
var kindNames = [...]string{"a word", "a name of letters, digits, '.', '-' and '_'", "a whole number",
	"a duration such as 250ms, 10s, 5m, 2h or 7d", "a size such as 512, 64K, 16M or 1G",
	"a share such as 0.1 or 10%", "HOST:PORT", "a path", "one of a list", "a number of 0 or more", "one word or more"}

var (
	durationUnits = map[string]float64{"ms": 0.001, "s": 1, "m": 60, "h": 3600, "d": 86400}
	sizeUnits     = map[string]float64{"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}
)

// Value is one value of a directive.
type Value struct {
	Name    string
	Kind    Kind
	Min     float64 // of a number, in the unit of its kind; with Max 0, too, what its kind allows
	Max     float64
	Choices []string // of a Choice
}

// read reads one value; fault tells what is wrong with it and what is allowed, empty for nothing.
func (v *Value) read(s string) (read any, fault string) {
	wrong := func() string { return fmt.Sprintf("%s is %q, allowed: %s", v.Name, s, v.describeAllowed()) }
	switch v.Kind {
	case Word:
		return s, checkNotEmpty(s, v.Name)
	case Path:
		if strings.ContainsRune(s, 0) {
			return nil, wrong()
		}
		return s, checkNotEmpty(s, v.Name)
	case Name:
		if !isName(s) {
			return nil, wrong()
		}
		return s, ""
	case Address:
		if !isAddress(s) {
			return nil, wrong()
		}
		return s, ""
	case Choice:
		if !slices.Contains(v.Choices, s) {
			return nil, wrong()
		}
		return s, ""
	}
	f, ok := v.parseQuantity(s)
	if !ok || (v.Min != 0 || v.Max != 0) && (f < v.Min || f > v.Max) {
		return nil, wrong()
	}
	return f, ""
}

const (
	maxNameLength = 128 // bytes
	maxPort       = 65535
)

// isName tells whether s may be a value of kind Name.
func isName(s string) bool {
	if s == "" || len(s) > maxNameLength || strings.Trim(s, ".") == "" {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool { return !isNameRune(r) })
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r)
}

// isAddress tells whether s is HOST:PORT with a port in figures.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return false
	}
	n, ok := parseNumber(port, map[string]float64{"": 1})
	return ok && n >= 0 && n <= maxPort && n == math.Trunc(n)
}

// parseQuantity reads a value of one of the kinds that are figures; its range is not checked yet. A kind that is no figure
// yields 0.
func (v *Value) parseQuantity(s string) (f float64, ok bool) {
	switch v.Kind {
	case Number:
		f, ok = parseNumber(s, map[string]float64{"": 1})
		ok = ok && f == math.Trunc(f)
	case Decimal:
		f, ok = parseNumber(s, map[string]float64{"": 1})
		ok = ok && f >= 0
	case Duration:
		f, ok = parseNumber(s, durationUnits)
	case Size:
		f, ok = parseNumber(s, sizeUnits)
		ok = ok && f == math.Trunc(f)
	case Fraction:
		f, ok = parseNumber(s, map[string]float64{"": 1, "%": 0.01})
		ok = ok && f >= 0 && f <= 1
	default:
		ok = true
	}
	return f, ok
}

// checkNotEmpty is the fault of a value that must not be empty.
func checkNotEmpty(s, name string) string {
	if s == "" {
		return name + " is empty"
	}
	return ""
}

// describeAllowed tells what a value may be.
func (v *Value) describeAllowed() string {
	if v.Kind == Choice {
		return strings.Join(v.Choices, ", ")
	}
	if v.Min == 0 && v.Max == 0 {
		return kindNames[v.Kind]
	}
	return fmt.Sprintf("%s, from %s to %s", kindNames[v.Kind], v.formatWithUnit(v.Min), v.formatWithUnit(v.Max))
}

// formatWithUnit writes a number with the largest unit in which it is a whole one.
func (v *Value) formatWithUnit(f float64) string {
	units := map[Kind][]string{Duration: {"d", "h", "m", "s", "ms"}, Size: {"G", "M", "K", ""}}[v.Kind]
	scales := durationUnits
	if v.Kind == Size {
		scales = sizeUnits
	}
	for _, u := range units {
		if n := f / scales[u]; f != 0 && math.Abs(n-math.Round(n)) < 1e-9 {
			return fmt.Sprintf("%.0f%s", n, u)
		}
	}
	return fmt.Sprint(f)
}
