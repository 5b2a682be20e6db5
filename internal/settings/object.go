package settings

// setting is one named member of an object of the document. Its assign function parses the value and stores it in a T, the
// Go type that holds the object.
type setting[T any] struct {
	name   string
	assign func(path string, value any, into *T) error
}

// object is the schema of one object of the document: the settings that are read or checked, in the order in which they
// are checked.
type object[T any] []setting[T]

// parser converts one decoded JSON value of the document.
type parser[V any] func(value any) (V, error)

// assign reads the members of a JSON object into a T. path is the path of the object in the document; it is empty or ends
// with a dot. A setting that is missing or null, and a name that is not in the schema, change nothing. If several
// settings have errors, assign returns the first error in the order of the schema.
func (o object[T]) assign(path string, members map[string]any, into *T) error {
	for _, s := range o {
		value := members[s.name]
		if value == nil {
			continue
		}
		if err := s.assign(path+s.name, value, into); err != nil {
			return err
		}
	}
	return nil
}

// field returns a setting that stores its parsed value. The parameter at returns a pointer to the place of the value in
// a T.
func field[T, V any](name string, parse parser[V], at func(*T) *V) setting[T] {
	return setting[T]{name: name, assign: func(path string, value any, into *T) error {
		parsed, err := parse(value)
		if err != nil {
			return &Error{Setting: path, Err: err}
		}
		*at(into) = parsed
		return nil
	}}
}

// checkedOnly returns a setting whose value is parsed, so that a wrong type is an error, but not stored.
func checkedOnly[T, V any](name string, parse parser[V]) setting[T] {
	return setting[T]{name: name, assign: func(path string, value any, _ *T) error {
		if _, err := parse(value); err != nil {
			return &Error{Setting: path, Err: err}
		}
		return nil
	}}
}

// members returns a setting that is an object with a schema of its own.
func members[T, V any](name string, schema object[V], at func(*T) *V) setting[T] {
	return setting[T]{name: name, assign: func(path string, value any, into *T) error {
		inner, ok := value.(map[string]any)
		if !ok {
			return &Error{Setting: path, Err: unexpectedValue("an object", value)}
		}
		return schema.assign(path+".", inner, at(into))
	}}
}

// uncheckedMembers returns a setting that must be an object. The members of the object are neither read nor checked.
func uncheckedMembers[T any](name string) setting[T] {
	return members(name, object[T]{}, func(into *T) *T { return into })
}
