package trace

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"
)

// ErrUnrecordable means that a value cannot be encoded without losing a part of it.
var ErrUnrecordable = errors.New("value cannot be recorded without loss")

// Kinds maps the concrete types behind an interface T, such as that of events, to names and back. The
// name is the type's with its package, such as "routing.Arrived". It is immutable.
type Kinds[T any] struct {
	types map[string]reflect.Type
	names map[reflect.Type]string
}

// NewKinds registers the types of the samples; their values do not matter. It returns an error for a
// type that encoding/json would not restore, because replay would then differ from the recorded run.
func NewKinds[T any](samples ...T) (*Kinds[T], error) {
	k := &Kinds[T]{types: map[string]reflect.Type{}, names: map[reflect.Type]string{}}

	for _, sample := range samples {
		t := reflect.TypeOf(sample)
		if t == nil {
			return nil, errors.New("nil is no sample of a kind")
		}

		name := t.String()
		if _, found := k.types[name]; found {
			return nil, errors.Newf("kind %s is registered twice", name)
		}
		if err := checkType(t, name, map[reflect.Type]bool{}); err != nil {
			return nil, err
		}

		k.types[name], k.names[t] = t, name
	}

	return k, nil
}

// message is the encoded form of an event or effect.
type message struct {
	Kind string          `json:"kind"`
	Data json.RawMessage `json:"data,omitempty"`
}

func (k *Kinds[T]) encode(value T) (message, error) {
	name, found := k.names[reflect.TypeOf(value)]
	if !found {
		return message{}, errors.Wrapf(ErrUnrecordable, "kind %T is not registered", value)
	}

	data, err := json.Marshal(value)
	if err != nil {
		return message{}, errors.Wrapf(ErrUnrecordable, "%s: %v", name, err)
	}
	// encoding/json writes this escape only for bytes that are not UTF-8. A string that contains the
	// escape itself is refused as well, which is harmless.
	if bytes.Contains(data, []byte(`\ufffd`)) {
		return message{}, errors.Wrapf(ErrUnrecordable, "%s contains a string that is not UTF-8", name)
	}

	return message{Kind: name, Data: data}, nil
}

func (k *Kinds[T]) encodeAll(values []T) ([]message, error) {
	messages := make([]message, 0, len(values))

	for _, value := range values {
		m, err := k.encode(value)
		if err != nil {
			return nil, err
		}

		messages = append(messages, m)
	}

	return messages, nil
}

func (k *Kinds[T]) decode(m message) (T, error) {
	var zero T

	t, found := k.types[m.Kind]
	if !found {
		return zero, errors.Newf("kind %q is unknown", m.Kind)
	}

	value := reflect.New(t)

	if len(m.Data) > 0 {
		decoder := json.NewDecoder(bytes.NewReader(m.Data))
		decoder.DisallowUnknownFields()

		if err := decoder.Decode(value.Interface()); err != nil {
			return zero, errors.Wrapf(err, "kind %s", m.Kind)
		}
	}

	decoded, _ := value.Elem().Interface().(T) // Every registered type implements T.

	return decoded, nil
}

// checkType returns an error if a part of the type would not survive encoding/json.
func checkType(t reflect.Type, path string, seen map[reflect.Type]bool) error {
	if seen[t] || isCodec(t) {
		return nil
	}

	seen[t] = true

	switch t.Kind() {
	case reflect.Struct:
		return checkFields(t, path, seen)
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return checkType(t.Elem(), path, seen)
	case reflect.Map:
		if kind := t.Key().Kind(); kind != reflect.String && !t.Key().ConvertibleTo(reflect.TypeFor[int64]()) && !isCodec(t.Key()) {
			return errors.Wrapf(ErrUnrecordable, "%s is a map whose keys are no text", path)
		}

		return checkType(t.Elem(), path, seen)
	case reflect.Interface, reflect.Func, reflect.Chan, reflect.UnsafePointer, reflect.Complex64, reflect.Complex128:
		return errors.Wrapf(ErrUnrecordable, "%s is of type %s", path, t)
	default:
		return nil
	}
}

func checkFields(t reflect.Type, path string, seen map[reflect.Type]bool) error {
	for i := range t.NumField() {
		field := t.Field(i)
		name := path + "." + field.Name

		if !field.IsExported() {
			return errors.Wrapf(ErrUnrecordable, "%s is not exported", name)
		}
		if err := checkType(field.Type, name, seen); err != nil {
			return err
		}
	}

	return nil
}

var codecs = [][2]reflect.Type{
	{reflect.TypeFor[json.Marshaler](), reflect.TypeFor[json.Unmarshaler]()},
	{reflect.TypeFor[encoding.TextMarshaler](), reflect.TypeFor[encoding.TextUnmarshaler]()},
}

// isCodec reports whether a type encodes and decodes itself.
func isCodec(t reflect.Type) bool {
	for _, codec := range codecs {
		if t.Implements(codec[0]) && reflect.PointerTo(t).Implements(codec[1]) {
			return true
		}
	}

	return false
}
