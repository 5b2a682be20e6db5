package operatorconfig

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
)

// Kind is the type of a value. The zero value is Word.
type Kind uint8

// The kinds of values. Number, Decimal, Duration, Size and Fraction are read as a float64; a Duration is in seconds and
// a Size in bytes. Words is read as a list of strings, and every other kind as a string.
const (
	Word     Kind = iota // any text that is not empty
	Name                 // letters, digits, ".", "-" and "_", and not only dots
	Number               // a whole number, such as 12
	Duration             // a duration, such as 250ms, 10s, 5m, 2h or 7d
	Size                 // a number of bytes, such as 512, 64K, 16M or 1G, with K = 1024
	Fraction             // a number from 0 to 1 or a percentage, such as 0.1 or 10%
	Address              // host:port, where the host is an IP address or a host name and the port is a number
	Path                 // the path of a file or folder
	Choice               // one of the Choices of the Value
	Decimal              // any number of 0 or more, such as 1.5
	Words                // one or more words; only for the last value of a directive
)

// kindNames describes the values of each kind, for errors and for the reference page. It is indexed by Kind.
var kindNames = [...]string{"a word", "a name of letters, digits, '.', '-' and '_'", "a whole number",
	"a duration such as 250ms, 10s, 5m, 2h or 7d", "a size such as 512, 64K, 16M or 1G",
	"a share such as 0.1 or 10%", "HOST:PORT", "a path", "one of a list", "a number of 0 or more", "one word or more"}

var (
	durationUnits = map[string]float64{"ms": 0.001, "s": 1, "m": 60, "h": 3600, "d": 86400}
	sizeUnits     = map[string]float64{"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}
)

// Value describes one value of a directive.
type Value struct {
	Name    string
	Kind    Kind
	Min     float64  // minimum number, in the unit of Kind; if Min and Max are 0, Kind alone sets the range
	Max     float64  // maximum number, in the unit of Kind
	Choices []string // allowed words, if Kind is Choice
}

// read parses one value. If the value is not allowed, fault describes the value and what is allowed; otherwise fault is
// empty.
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
	maxNameLength = 128 // in bytes
	maxPort       = 65535
)

// isName reports whether s is a valid value of kind Name.
func isName(s string) bool {
	if s == "" || len(s) > maxNameLength || strings.Trim(s, ".") == "" {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool { return !isNameRune(r) })
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r)
}

// isAddress reports whether s is HOST:PORT with a numeric port.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return false
	}
	n, ok := parseNumber(port, map[string]float64{"": 1})
	return ok && n >= 0 && n <= maxPort && n == math.Trunc(n)
}

// parseQuantity parses a value of a numeric kind. ok reports whether the kind allows the value; Min and Max are not
// checked. For a kind that is not numeric, the results are 0 and true.
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

// checkNotEmpty returns the fault of an empty value, or "" if the value is not empty.
func checkNotEmpty(s, name string) string {
	if s == "" {
		return name + " is empty"
	}
	return ""
}

// describeAllowed describes the values that are allowed, for errors and for the reference page.
func (v *Value) describeAllowed() string {
	if v.Kind == Choice {
		return strings.Join(v.Choices, ", ")
	}
	if v.Min == 0 && v.Max == 0 {
		return kindNames[v.Kind]
	}
	return fmt.Sprintf("%s, from %s to %s", kindNames[v.Kind], v.formatWithUnit(v.Min), v.formatWithUnit(v.Max))
}

// formatWithUnit formats a Duration or a Size with the largest unit in which the number is whole, to within 1e-9. It
// writes no unit for 0, for a number that is whole in no unit, and for a number of another kind.
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
