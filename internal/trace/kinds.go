package trace

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"
)

// ErrUnrecordable means that a value cannot be encoded without loss.
var ErrUnrecordable = errors.New("value cannot be recorded without loss")

// Kinds maps the concrete types that implement an interface T, such as that of events, to names and back. A name
// consists of package and type, such as "routing.Arrived". Kinds is immutable.
type Kinds[T any] struct {
	types map[string]reflect.Type
	names map[reflect.Type]string
}

// NewKinds registers the types of the samples, whose values are ignored. It returns an error for nil and for a type
// that is registered twice. It returns an error that wraps ErrUnrecordable for a type whose values encoding/json would
// not restore, because a replay would then differ from the recorded run.
func NewKinds[T any](samples ...T) (*Kinds[T], error) {
	k := &Kinds[T]{types: map[string]reflect.Type{}, names: map[reflect.Type]string{}}

	for _, sample := range samples {
		t := reflect.TypeOf(sample)
		if t == nil {
			return nil, errors.New("nil is not a sample of a kind")
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

// typedValue is the encoded form of an event or effect, with the name of its type.
type typedValue struct {
	Kind string          `json:"kind"`
	Data json.RawMessage `json:"data,omitempty"`
}

func (k *Kinds[T]) encode(value T) (typedValue, error) {
	name, found := k.names[reflect.TypeOf(value)]
	if !found {
		return typedValue{}, errors.Wrapf(ErrUnrecordable, "kind %T is not registered", value)
	}

	data, err := json.Marshal(value)
	if err != nil {
		return typedValue{}, errors.Wrapf(ErrUnrecordable, "%s: %v", name, err)
	}
	// encoding/json writes this escape only for bytes that are not UTF-8. A string that contains the text of the escape
	// is rejected as well, which is harmless.
	if bytes.Contains(data, []byte(`\ufffd`)) {
		return typedValue{}, errors.Wrapf(ErrUnrecordable, "%s contains a string that is not UTF-8", name)
	}

	return typedValue{Kind: name, Data: data}, nil
}

func (k *Kinds[T]) encodeAll(values []T) ([]typedValue, error) {
	encoded := make([]typedValue, 0, len(values))

	for _, value := range values {
		v, err := k.encode(value)
		if err != nil {
			return nil, err
		}

		encoded = append(encoded, v)
	}

	return encoded, nil
}

func (k *Kinds[T]) decode(encoded typedValue) (T, error) {
	var zero T

	t, found := k.types[encoded.Kind]
	if !found {
		return zero, errors.Newf("kind %q is unknown", encoded.Kind)
	}

	value := reflect.New(t)

	if len(encoded.Data) > 0 {
		decoder := json.NewDecoder(bytes.NewReader(encoded.Data))
		decoder.DisallowUnknownFields()

		if err := decoder.Decode(value.Interface()); err != nil {
			return zero, errors.Wrapf(err, "kind %s", encoded.Kind)
		}
	}

	decoded, _ := value.Elem().Interface().(T) // Each registered type implements T.

	return decoded, nil
}

// checkType returns an error that wraps ErrUnrecordable if encoding/json would lose a part of the type. The error names
// path, which is a type or field. seen holds the types that were checked already.
func checkType(t reflect.Type, path string, seen map[reflect.Type]bool) error {
	if seen[t] || hasCodec(t) {
		return nil
	}

	seen[t] = true

	switch t.Kind() {
	case reflect.Struct:
		return checkFields(t, path, seen)
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return checkType(t.Elem(), path, seen)
	case reflect.Map:
		if kind := t.Key().Kind(); kind != reflect.String && !t.Key().ConvertibleTo(reflect.TypeFor[int64]()) && !hasCodec(t.Key()) {
			return errors.Wrapf(ErrUnrecordable, "%s is a map whose keys cannot be encoded as text", path)
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

// codecs are pairs of interfaces by which a type encodes and decodes itself.
var codecs = [][2]reflect.Type{
	{reflect.TypeFor[json.Marshaler](), reflect.TypeFor[json.Unmarshaler]()},
	{reflect.TypeFor[encoding.TextMarshaler](), reflect.TypeFor[encoding.TextUnmarshaler]()},
}

// hasCodec reports whether encoding/json lets a type encode and decode itself.
func hasCodec(t reflect.Type) bool {
	for _, codec := range codecs {
		if t.Implements(codec[0]) && reflect.PointerTo(t).Implements(codec[1]) {
			return true
		}
	}

	return false
}
