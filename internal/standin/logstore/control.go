package logstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// wireControl is the body of the control endpoint. Durations are in the syntax of
// time.ParseDuration. A field that a PUT leaves out keeps its value.
type wireControl struct {
	Latency    *string  `json:"latency,omitempty"`
	Rate       *float64 `json:"rate,omitempty"`
	Outage     *string  `json:"outage,omitempty"`
	Lose       *float64 `json:"lose,omitempty"`
	Stale      *string  `json:"stale,omitempty"`
	StaleShare *float64 `json:"stale_share,omitempty"`
	Age        *string  `json:"age,omitempty"`
	Records    *int     `json:"records,omitempty"`
	Counts     *Counts  `json:"counts,omitempty"`
}

func (s *Store) serveControl(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	faults, retention, counts := s.faults, s.retention, s.counts
	s.mu.Unlock()

	latency, stale, age := faults.Latency.String(), faults.Stale.String(), retention.Age.String()
	outage := faults.Outage.String()

	respond(w, wireControl{
		Latency: &latency, Rate: &faults.Rate, Outage: &outage, Lose: &faults.Lose, Stale: &stale,
		StaleShare: &faults.StaleShare, Age: &age, Records: &retention.Records, Counts: &counts,
	})
}

func (s *Store) serveSetControl(w http.ResponseWriter, r *http.Request) {
	var wire wireControl

	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()

	err := decoder.Decode(&wire)
	if err == nil {
		err = s.setControl(wire)
	}

	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	s.serveControl(w, r)
}

func (s *Store) setControl(wire wireControl) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	faults, retention := s.faults, s.retention

	for _, field := range []struct {
		text   *string
		target *time.Duration
	}{{wire.Latency, &faults.Latency}, {wire.Stale, &faults.Stale}, {wire.Age, &retention.Age}} {
		if field.text == nil {
			continue
		}

		duration, err := time.ParseDuration(*field.text)
		if err != nil {
			return err
		}

		*field.target = duration
	}

	if wire.Outage != nil {
		outage, err := ParseOutage(*wire.Outage)
		if err != nil {
			return err
		}

		faults.Outage = outage
	}

	assign(wire.Rate, &faults.Rate)
	assign(wire.Lose, &faults.Lose)
	assign(wire.StaleShare, &faults.StaleShare)
	assign(wire.Records, &retention.Records)

	s.faults, s.retention = faults, retention

	return nil
}

func assign[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

func (s *Store) serveCut(parameter string, cut func(string, uint64)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		offset, err := strconv.ParseUint(r.FormValue(parameter), 10, 64)
		if err != nil {
			http.Error(w, parameter+": "+err.Error(), http.StatusBadRequest)

			return
		}

		cut(r.FormValue("stream"), offset)
		w.WriteHeader(http.StatusNoContent)
	}
}
