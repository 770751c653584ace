package admin

import (
	"encoding"
	"encoding/json"
	"net/http"
	"reflect"
	"time"
)

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())

		return
	}

	writeText(w, http.StatusOK, "ready")
}

func (s *Server) serveDump(w http.ResponseWriter, r *http.Request) {
	state, err := s.dump(r.Context())
	if err == nil {
		var data []byte
		// The state is encoded before the first write, so that an error does not leave a truncated response with
		// status 200.
		if data, err = json.MarshalIndent(formatDurations(reflect.ValueOf(state)), "", "  "); err == nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(append(data, '\n'))

			return
		}
	}

	s.logger.Error().Err(err).Msg("state dump failed")
	writeText(w, http.StatusInternalServerError, "state dump failed: "+err.Error())
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	if err := s.drain(r.Context()); err != nil {
		s.logger.Error().Err(err).Msg("draining was not started")
		writeText(w, http.StatusInternalServerError, "draining was not started: "+err.Error())

		return
	}

	s.logger.Info().Str("remote", r.RemoteAddr).Msg("an operator started draining")
	writeText(w, http.StatusAccepted, "draining")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// formatDurations returns a copy of a value in which durations are strings such as "5ms", because encoding/json would
// write them as nanoseconds, which are hard to read in a dump.
func formatDurations(v reflect.Value) any {
	if !v.IsValid() {
		return nil
	}

	switch value := v.Interface().(type) {
	case time.Duration:
		return value.String()
	case json.Marshaler, encoding.TextMarshaler:
		return value
	}

	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return formatDurations(v.Elem())
	case reflect.Struct:
		object := map[string]any{}
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				object[field.Name] = formatDurations(v.Field(i))
			}
		}

		return object
	case reflect.Slice, reflect.Array:
		items := make([]any, 0, v.Len())
		for i := range v.Len() {
			items = append(items, formatDurations(v.Index(i)))
		}

		return items
	case reflect.Map:
		return formatMapDurations(v)
	default:
		return v.Interface()
	}
}

func formatMapDurations(v reflect.Value) any {
	copied := reflect.MakeMap(reflect.MapOf(v.Type().Key(), reflect.TypeFor[any]()))
	for _, key := range v.MapKeys() {
		value := reflect.New(reflect.TypeFor[any]()).Elem()
		if formatted := formatDurations(v.MapIndex(key)); formatted != nil {
			value.Set(reflect.ValueOf(formatted))
		}

		copied.SetMapIndex(key, value)
	}

	return copied.Interface()
}
