package admin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Print writes a JSON dump as indented text. Lists of flat objects are printed as tables. It returns an error if the
// dump is not JSON or the text cannot be written.
func Print(out io.Writer, dump []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(dump))
	// Numbers keep their decimal text, because float64 would round counters above 2^53.
	decoder.UseNumber()

	var state any
	if err := decoder.Decode(&state); err != nil {
		return errors.Wrap(err, "decode dump")
	}

	p := printer{}
	p.printValue("", state)

	_, err := out.Write(p.out.Bytes())

	return errors.Wrap(err, "write dump")
}

type printer struct{ out bytes.Buffer }

func (p *printer) printValue(indent string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			p.printMember(indent, key, v[key])
		}
	case []any:
		p.printList(indent, v)
	default:
		fmt.Fprintf(&p.out, "%s%s\n", indent, formatScalar(v))
	}
}

func (p *printer) printMember(indent, name string, value any) {
	key := formatScalar(name)

	switch v := value.(type) {
	case map[string]any:
		if len(v) == 0 {
			fmt.Fprintf(&p.out, "%s%s: -\n", indent, key)

			return
		}

		fmt.Fprintf(&p.out, "%s%s:\n", indent, key)
		p.printValue(indent+"  ", v)
	case []any:
		if text, flat := formatInline(v); flat {
			fmt.Fprintf(&p.out, "%s%s: %s\n", indent, key, text)

			return
		}

		fmt.Fprintf(&p.out, "%s%s (%d):\n", indent, key, len(v))
		p.printList(indent+"  ", v)
	default:
		fmt.Fprintf(&p.out, "%s%s: %s\n", indent, key, formatScalar(v))
	}
}

func (p *printer) printList(indent string, items []any) {
	if columns := tableColumns(items); columns != nil {
		p.printTable(indent, columns, items)

		return
	}

	for index, item := range items {
		fmt.Fprintf(&p.out, "%s- %d\n", indent, index)
		p.printValue(indent+"  ", item)
	}
}

// printTable prints one row per object.
func (p *printer) printTable(indent string, columns []string, items []any) {
	const padding = 2

	var aligned bytes.Buffer

	writer := tabwriter.NewWriter(&aligned, 0, 0, padding, ' ', 0)
	row := func(cells []string) { _, _ = fmt.Fprintln(writer, strings.Join(cells, "\t")) }
	names := make([]string, 0, len(columns))

	for _, column := range columns {
		names = append(names, formatScalar(column))
	}

	row(names)

	for _, item := range items {
		object := flatten(item)
		cells := make([]string, 0, len(columns))

		for _, column := range columns {
			value, found := object[column]
			if !found {
				cells = append(cells, "")

				continue
			}

			text, _ := formatInline(value)
			cells = append(cells, text)
		}

		row(cells)
	}

	_ = writer.Flush() // Writing to a buffer cannot fail.

	for line := range strings.Lines(aligned.String()) {
		fmt.Fprintf(&p.out, "%s%s\n", indent, strings.TrimRight(line, " \n"))
	}
}

// tableColumns returns the keys of all items, flattened and sorted with ID first. It returns nil unless every item is
// an object whose members are scalars, short lists of scalars, or objects of these.
func tableColumns(items []any) []string {
	columns := map[string]bool{}

	for _, item := range items {
		if _, ok := item.(map[string]any); !ok {
			return nil
		}

		for key, value := range flatten(item) {
			if _, flat := formatInline(value); !flat {
				return nil
			}

			columns[key] = true
		}
	}

	if len(columns) == 0 {
		return nil
	}

	return slices.SortedFunc(maps.Keys(columns), func(a, b string) int {
		if a == idColumn || b == idColumn {
			return strings.Compare(strings.TrimPrefix(a, idColumn), strings.TrimPrefix(b, idColumn))
		}

		return strings.Compare(a, b)
	})
}

// flatten returns the members of an object. Members of an inner object get the key "outer.inner".
func flatten(item any) map[string]any {
	object, _ := item.(map[string]any)
	flat := map[string]any{}

	for key, value := range object {
		inner, ok := value.(map[string]any)
		if !ok {
			flat[key] = value

			continue
		}

		for name, part := range inner {
			flat[key+"."+name] = part
		}
	}

	return flat
}

// idColumn is the key that identifies a row; it is the first column.
const idColumn = "ID"

// formatInline returns a scalar or a short list of scalars as one line, and false for any other value.
func formatInline(value any) (string, bool) {
	switch v := value.(type) {
	case map[string]any:
		return "", false
	case []any:
		const maxItems = 8
		if len(v) > maxItems {
			return "", false
		}

		texts := make([]string, 0, len(v))

		for _, item := range v {
			switch item.(type) {
			case map[string]any, []any:
				return "", false
			}

			texts = append(texts, formatScalar(item))
		}

		return "[" + strings.Join(texts, ", ") + "]", true
	default:
		return formatScalar(v), true
	}
}

func formatScalar(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case string:
		// A dump contains names received from the network, whose control characters must not reach the terminal.
		if quoted := fmt.Sprintf("%q", v); quoted != `"`+v+`"` || v == "" {
			return quoted
		}

		return v
	default:
		return fmt.Sprint(v)
	}
}
