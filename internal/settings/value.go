package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"silvercove/balancer"
)

// Upper bounds of values. They keep the balancer's integers from overflowing. maxDurationSeconds does so for durations
// in ticks, and for random numbers that are drawn up to such a duration.
const (
	maxDurationSeconds = 360_000.0
	maxRelays          = 1e6
	maxAttempts        = 32
	maxStages          = 1000
)

// maxQuoted is the length in bytes beyond which an error truncates the value or name that it quotes.
const maxQuoted = 80

var (
	errDuplicate   = errors.New("stands twice")
	errMissingName = errors.New("no name")
)

// unexpectedValue returns the error for a value of a wrong type or out of range. expected describes what the setting
// accepts.
func unexpectedValue(expected string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s is wanted, not %s", expected, truncate(string(text)))
}

// truncate shortens a text of more than maxQuoted bytes and marks the end with dots. It does not split a UTF-8 character.
func truncate(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	for i := range text {
		if i >= maxQuoted {
			return text[:i] + "..."
		}
	}
	return text
}

func stringValue(value any) (string, error) {
	if v, ok := value.(string); ok {
		return v, nil
	}
	return "", unexpectedValue("a word", value)
}

func boolean(value any) (bool, error) {
	if v, ok := value.(bool); ok {
		return v, nil
	}
	return false, unexpectedValue("true or false", value)
}

// nonNegative parses a number of 0 or above.
func nonNegative(value any) (float64, error) {
	if v, ok := value.(float64); ok && v >= 0 {
		return v, nil
	}
	return 0, unexpectedValue("a number that is not negative", value)
}

// clampedNumber returns a parser that accepts any number. The parser returns least for a smaller number and most for a
// larger one.
func clampedNumber(least, most float64) parser[float64] {
	return func(value any) (float64, error) {
		if v, ok := value.(float64); ok {
			return min(max(v, least), most), nil
		}
		return 0, unexpectedValue("a number", value)
	}
}

// clampedDuration parses a number of seconds. It returns maxDurationSeconds for a longer duration, because a relay acts
// the same with either duration.
func clampedDuration(value any) (balancer.Seconds, error) {
	if v, ok := value.(float64); ok && v >= 0 {
		return balancer.Seconds(min(v, maxDurationSeconds)), nil
	}
	return 0, unexpectedValue("a number of seconds that is not negative", value)
}

// boundedDuration parses a number of seconds and refuses a number above maxDurationSeconds. It is for a window over
// which the site enforces a limit, such as Rollout.ExposureWindow. clampedDuration would replace a longer window by
// maxDurationSeconds, and the relay would then exceed the limit.
func boundedDuration(value any) (balancer.Seconds, error) {
	if v, ok := value.(float64); ok && v >= 0 && v <= maxDurationSeconds {
		return balancer.Seconds(v), nil
	}
	return 0, unexpectedValue(fmt.Sprintf("a number of seconds from 0 to %v", maxDurationSeconds), value)
}

// fraction parses a number from 0 to 1.
func fraction(value any) (float64, error) {
	if v, ok := value.(float64); ok && v >= 0 && v <= 1 {
		return v, nil
	}
	return 0, unexpectedValue("a number from 0 to 1", value)
}

// fractions parses a list with one fraction for each stage.
func fractions(value any) ([]float64, error) {
	list, ok := value.([]any)
	if !ok {
		return nil, unexpectedValue("a list of numbers from 0 to 1", value)
	}
	out := make([]float64, 0, len(list))
	for _, element := range list {
		v, err := fraction(element)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

// stageCount parses a number of stages. It returns maxStages for a larger number.
func stageCount(value any) (int, error) {
	if v, ok := value.(float64); ok && v >= 0 && v == math.Trunc(v) {
		return int(min(v, maxStages)), nil
	}
	return 0, unexpectedValue("a whole number that is not negative", value)
}

// attemptCount parses the maximum number of attempts of a request. It returns maxAttempts for a larger number. It
// refuses 0, because a relay without attempts could serve no request.
func attemptCount(value any) (int, error) {
	if v, ok := value.(float64); ok && v >= 1 && v == math.Trunc(v) {
		return int(min(v, maxAttempts)), nil
	}
	return 0, unexpectedValue("a whole number from 1 on", value)
}

// wordOrZero returns a parser that accepts any string. It returns the value that the set has for the string, or the zero
// value if the string is not in the set.
func wordOrZero[V any](set map[string]V) parser[V] {
	return func(value any) (V, error) {
		v, err := stringValue(value)
		return set[v], err
	}
}

// unknownWordRule is what a parser does with a string that is not in its set.
type unknownWordRule uint8

const (
	unknownIsZero  unknownWordRule = iota // a string that is not in the set is read as the zero value
	unknownIsError                        // a string that is not in the set is an error
)

// wordOf returns a parser for one string out of a set. rule applies to a string that is not in the set. The parser's
// errors list the strings of the set.
func wordOf[V any](set map[string]V, rule unknownWordRule) parser[V] {
	return func(value any) (V, error) {
		v, ok := value.(string)
		_, known := set[v]
		if !ok || !known && rule == unknownIsError {
			var zero V
			return zero, unexpectedValue("one of "+strings.Join(slices.Sorted(maps.Keys(set)), ", "), value)
		}
		return set[v], nil
	}
}

func stringList(value any) ([]string, error) {
	list, ok := value.([]any)
	if !ok {
		return nil, unexpectedValue("a list of words", value)
	}
	out := make([]string, 0, len(list))
	for _, element := range list {
		v, err := stringValue(element)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

// names parses a list of strings, or a list of objects that each have a name. Several elements may have the same name.
func names(value any) ([]string, error) {
	if list, _ := value.([]any); len(list) > 0 {
		if _, ok := list[0].(map[string]any); ok {
			return namedObjects(value, namesMayRepeat)
		}
	}
	return stringList(value)
}

// distinctNames is like names, but refuses a name that occurs twice, because a reference to that name would be ambiguous.
func distinctNames(value any) ([]string, error) {
	list, err := names(value)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, name := range list {
		if err := checkUnique(seen, name); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// tenants parses a list of objects with unique names. The empty name is allowed.
func tenants(value any) ([]string, error) { return namedObjects(value, namesUnique) }

// requestClasses parses a list of request classes, whose names must be unique and not empty.
func requestClasses(value any) ([]balancer.RequestClass, error) {
	name := func(c *balancer.RequestClass) string { return c.Name }
	return objects(value, classSchema, name, namesUniqueNonEmpty)
}

// namedObjects parses a list of objects that each have a name, and returns the names.
func namedObjects(value any, rule nameRule) ([]string, error) {
	nameSchema := object[string]{field("name", stringValue, func(s *string) *string { return s })}
	return objects(value, nameSchema, func(s *string) string { return *s }, rule)
}

// nameRule is a rule on the names of the objects of a list.
type nameRule uint8

const (
	namesMayRepeat nameRule = iota
	namesUnique
	namesUniqueNonEmpty
)

// objects parses a list of objects that each have a name, which the parameter nameOf returns. The parameter rule says
// whether a name may be empty or occur twice.
func objects[T any](value any, schema object[T], nameOf func(*T) string, rule nameRule) ([]T, error) {
	list, ok := value.([]any)
	if !ok {
		return nil, unexpectedValue("a list", value)
	}
	out := make([]T, len(list))
	seen := map[string]bool{}
	for i, element := range list {
		members, ok := element.(map[string]any)
		if !ok {
			return nil, unexpectedValue(fmt.Sprintf("an object at place %d", i), element)
		}
		place := fmt.Sprintf("place %d", i)
		if err := schema.assign("", members, &out[i]); err != nil {
			return nil, &Error{Setting: place, Err: err}
		}
		name := nameOf(&out[i])
		if members["name"] == nil || name == "" && rule == namesUniqueNonEmpty {
			return nil, &Error{Setting: place, Err: errMissingName}
		}
		if rule == namesMayRepeat {
			continue
		}
		if err := checkUnique(seen, name); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// checkUnique adds the name to seen. It returns an error if the name is there already.
func checkUnique(seen map[string]bool, name string) error {
	if seen[name] {
		return fmt.Errorf("%s %w", strconv.Quote(truncate(name)), errDuplicate)
	}
	seen[name] = true
	return nil
}
