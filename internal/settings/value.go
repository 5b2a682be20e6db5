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

// The bounds of what is read. They keep spans in ticks, and what is drawn from them, within the balancer's whole numbers.
const (
	maxDurationSeconds = 360_000.0
	maxRelays          = 1e6
	maxAttempts        = 32
	maxStages          = 1000
)

// maxQuoted is how many bytes of a value or of a name an error repeats.
const maxQuoted = 80

var (
	errDuplicate   = errors.New("stands twice")
	errMissingName = errors.New("no name")
)

// unexpectedValue is the error of a value that stands where something else has to.
func unexpectedValue(what string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s is wanted, not %s", what, truncate(string(text)))
}

// truncate cuts a long text, between two characters.
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

func nonNegative(value any) (float64, error) {
	if v, ok := value.(float64); ok && v >= 0 {
		return v, nil
	}
	return 0, unexpectedValue("a number that is not negative", value)
}

// clampedNumber takes any number; one out of the range counts as the nearest of it.
func clampedNumber(least, most float64) parser[float64] {
	return func(value any) (float64, error) {
		if v, ok := value.(float64); ok {
			return min(max(v, least), most), nil
		}
		return 0, unexpectedValue("a number", value)
	}
}

// clampedDuration takes a number of seconds; one beyond every time that matters counts as the longest.
func clampedDuration(value any) (balancer.Seconds, error) {
	if v, ok := value.(float64); ok && v >= 0 {
		return balancer.Seconds(min(v, maxDurationSeconds)), nil
	}
	return 0, unexpectedValue("a number of seconds that is not negative", value)
}

// boundedDuration takes the span of a rule that a shorter span would break, so that none is cut down.
func boundedDuration(value any) (balancer.Seconds, error) {
	if v, ok := value.(float64); ok && v >= 0 && v <= maxDurationSeconds {
		return balancer.Seconds(v), nil
	}
	return 0, unexpectedValue(fmt.Sprintf("a number of seconds from 0 to %v", maxDurationSeconds), value)
}

func fraction(value any) (float64, error) {
	if v, ok := value.(float64); ok && v >= 0 && v <= 1 {
		return v, nil
	}
	return 0, unexpectedValue("a number from 0 to 1", value)
}

// fractions takes one share for each stage.
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

// stageCount takes a number of stages; one above maxStages counts as that.
func stageCount(value any) (int, error) {
	if v, ok := value.(float64); ok && v >= 0 && v == math.Trunc(v) {
		return int(min(v, maxStages)), nil
	}
	return 0, unexpectedValue("a whole number that is not negative", value)
}

// attemptCount takes how many attempts a request may have; one above maxAttempts counts as that. With none of them a relay
// would serve nothing, so 0 is refused.
func attemptCount(value any) (int, error) {
	if v, ok := value.(float64); ok && v >= 1 && v == math.Trunc(v) {
		return int(min(v, maxAttempts)), nil
	}
	return 0, unexpectedValue("a whole number from 1 on", value)
}

// wordOrZero takes any word; one that the set lacks counts as the zero value.
func wordOrZero[V any](set map[string]V) parser[V] {
	return func(value any) (V, error) {
		v, err := stringValue(value)
		return set[v], err
	}
}

// unknownWordRule tells what is made of a word that a set lacks.
type unknownWordRule uint8

const (
	unknownIsZero unknownWordRule = iota // it counts as the zero value
	unknownIsError
)

// wordOf takes a word of a set. Its errors name the set.
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

// names takes a list of names, or of objects that have one each. A name may stand in it twice.
func names(value any) ([]string, error) {
	if list, _ := value.([]any); len(list) > 0 {
		if _, ok := list[0].(map[string]any); ok {
			return namedObjects(value, namesMayRepeat)
		}
	}
	return stringList(value)
}

// distinctNames takes what names does, but no name twice: of two with one name nothing would tell which is meant.
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

// tenants takes a list of objects whose names differ. An empty name is one like others.
func tenants(value any) ([]string, error) { return namedObjects(value, namesUnique) }

// requestClasses takes a list of classes whose names differ and are not empty.
func requestClasses(value any) ([]balancer.RequestClass, error) {
	name := func(c *balancer.RequestClass) string { return c.Name }
	return objects(value, classSchema, name, namesUniqueNonEmpty)
}

func namedObjects(value any, rule nameRule) ([]string, error) {
	nameSchema := object[string]{field("name", stringValue, func(s *string) *string { return s })}
	return objects(value, nameSchema, func(s *string) string { return *s }, rule)
}

// nameRule is what holds for the names of the objects of a list.
type nameRule uint8

const (
	namesMayRepeat nameRule = iota
	namesUnique
	namesUniqueNonEmpty // and none is empty
)

// objects takes a list of objects that have a name each.
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

// checkUnique refuses a name that was seen before.
func checkUnique(seen map[string]bool, name string) error {
	if seen[name] {
		return fmt.Errorf("%s %w", strconv.Quote(truncate(name)), errDuplicate)
	}
	seen[name] = true
	return nil
}
