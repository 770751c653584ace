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

// Print writes a JSON dump as indented text. Lists of flat objects become tables.
func Print(out io.Writer, dump []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(dump))
	// Numbers keep their text; counters above 2^53 would be rounded as floats.
	decoder.UseNumber()

	var state any
	if err := decoder.Decode(&state); err != nil {
		return errors.Wrap(err, "decode dump")
	}

	p := printer{}
	p.value("", state)

	_, err := out.Write(p.out.Bytes())

	return errors.Wrap(err, "write dump")
}

type printer struct{ out bytes.Buffer }

func (p *printer) value(indent string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			p.member(indent, key, v[key])
		}
	case []any:
		p.list(indent, v)
	default:
		fmt.Fprintf(&p.out, "%s%s\n", indent, scalar(v))
	}
}

func (p *printer) member(indent, name string, value any) {
	key := scalar(name)

	switch v := value.(type) {
	case map[string]any:
		if len(v) == 0 {
			fmt.Fprintf(&p.out, "%s%s: -\n", indent, key)

			return
		}

		fmt.Fprintf(&p.out, "%s%s:\n", indent, key)
		p.value(indent+"  ", v)
	case []any:
		if text, flat := inline(v); flat {
			fmt.Fprintf(&p.out, "%s%s: %s\n", indent, key, text)

			return
		}

		fmt.Fprintf(&p.out, "%s%s (%d):\n", indent, key, len(v))
		p.list(indent+"  ", v)
	default:
		fmt.Fprintf(&p.out, "%s%s: %s\n", indent, key, scalar(v))
	}
}

func (p *printer) list(indent string, items []any) {
	if columns := tableColumns(items); columns != nil {
		p.table(indent, columns, items)

		return
	}

	for index, item := range items {
		fmt.Fprintf(&p.out, "%s- %d\n", indent, index)
		p.value(indent+"  ", item)
	}
}

// table writes one row per object.
func (p *printer) table(indent string, columns []string, items []any) {
	const padding = 2

	var aligned bytes.Buffer

	writer := tabwriter.NewWriter(&aligned, 0, 0, padding, ' ', 0)
	row := func(cells []string) { _, _ = fmt.Fprintln(writer, strings.Join(cells, "\t")) }
	names := make([]string, 0, len(columns))

	for _, column := range columns {
		names = append(names, scalar(column))
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

			text, _ := inline(value)
			cells = append(cells, text)
		}

		row(cells)
	}

	_ = writer.Flush() // Writes to a buffer.

	for line := range strings.Lines(aligned.String()) {
		fmt.Fprintf(&p.out, "%s%s\n", indent, strings.TrimRight(line, " \n"))
	}
}

// tableColumns returns the sorted keys of all items, with ID first, or nil unless every item is an
// object of scalars, short lists and objects of such.
func tableColumns(items []any) []string {
	columns := map[string]bool{}

	for _, item := range items {
		if _, ok := item.(map[string]any); !ok {
			return nil
		}

		for key, value := range flatten(item) {
			if _, flat := inline(value); !flat {
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

// flatten lifts the members of an object's objects, under names with a dot.
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

// idColumn names a row.
const idColumn = "ID"

// inline writes a scalar or a list of scalars in one line.
func inline(value any) (string, bool) {
	switch v := value.(type) {
	case map[string]any:
		return "", false
	case []any:
		const longest = 8
		if len(v) > longest {
			return "", false
		}

		texts := make([]string, 0, len(v))

		for _, item := range v {
			switch item.(type) {
			case map[string]any, []any:
				return "", false
			}

			texts = append(texts, scalar(item))
		}

		return "[" + strings.Join(texts, ", ") + "]", true
	default:
		return scalar(v), true
	}
}

func scalar(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case string:
		// A dump contains names from the network; control characters must not reach the terminal.
		if quoted := fmt.Sprintf("%q", v); quoted != `"`+v+`"` || v == "" {
			return quoted
		}

		return v
	default:
		return fmt.Sprint(v)
	}
}
