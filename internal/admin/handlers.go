package admin

import (
	"encoding/json"
	"net/http"
)

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		write(w, http.StatusServiceUnavailable, err.Error())

		return
	}

	write(w, http.StatusOK, "ready")
}

func (s *Server) serveDump(w http.ResponseWriter, r *http.Request) {
	state, err := s.dump(r.Context())
	if err == nil {
		var data []byte
		// Encoded as a whole first, so that a failure is not a broken response with status 200.
		if data, err = json.MarshalIndent(state, "", "  "); err == nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(append(data, '\n'))

			return
		}
	}

	s.logger.Error().Err(err).Msg("state dump failed")
	write(w, http.StatusInternalServerError, "state dump failed: "+err.Error())
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	if err := s.drain(r.Context()); err != nil {
		s.logger.Error().Err(err).Msg("draining was not started")
		write(w, http.StatusInternalServerError, "draining was not started: "+err.Error())

		return
	}

	s.logger.Info().Str("remote", r.RemoteAddr).Msg("an operator started draining")
	write(w, http.StatusAccepted, "draining")
}

func write(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
