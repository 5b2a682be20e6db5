package settings

// setting is one name of an object of the document, with what is done with its value. T is what the object is read into.
type setting[T any] struct {
	name   string
	assign func(path string, value any, into *T) error
}

// object is the schema of one object of the document.
type object[T any] []setting[T]

// parser reads one value of the document.
type parser[V any] func(value any) (V, error)

// assign reads the members of an object. The path ends with a dot, unless it is empty. Settings that are missing or null,
// and names that the schema lacks, change nothing. Of several errors the first one by the order of the schema counts.
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

// field is a setting that one field keeps.
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

// checkedOnly is a setting that nothing reads and that has to be of its type all the same.
func checkedOnly[T, V any](name string, parse parser[V]) setting[T] {
	return setting[T]{name: name, assign: func(path string, value any, _ *T) error {
		if _, err := parse(value); err != nil {
			return &Error{Setting: path, Err: err}
		}
		return nil
	}}
}

// members is a setting that is an object with a schema of its own.
func members[T, V any](name string, schema object[V], at func(*T) *V) setting[T] {
	return setting[T]{name: name, assign: func(path string, value any, into *T) error {
		inner, ok := value.(map[string]any)
		if !ok {
			return &Error{Setting: path, Err: unexpectedValue("an object", value)}
		}
		return schema.assign(path+".", inner, at(into))
	}}
}

// uncheckedMembers is a setting that is an object of which nothing is read.
func uncheckedMembers[T any](name string) setting[T] {
	return members(name, object[T]{}, func(into *T) *T { return into })
}
