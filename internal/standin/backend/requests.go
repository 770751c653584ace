package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// runInSlot returns a handler that waits for a slot, records the execution, holds the slot for the service time and
// then responds with next. Refused requests do not run.
func (s *Server) runInSlot(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		behaviour := s.Behaviour()
		fault := s.nextFault(behaviour)

		if s.refuse(w, r, behaviour, fault) {
			return
		}

		select {
		case s.slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}

		defer func() { <-s.slots }()

		if behaviour.Answer != nil {
			s.record(r, "")
			s.answer(w, r, behaviour.Answer)

			return
		}

		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}

		if poison := behaviour.Poison; poison != "" && strings.Contains(string(body), poison) {
			s.Crash()

			return
		}

		s.record(r, string(body))
		r.Body = io.NopCloser(strings.NewReader(string(body)))

		if sleepServiceTime(r.Context(), behaviour) {
			s.respond(w, r, next, fault)
		}
	}
}

// sleepServiceTime sleeps for the service time. It returns false if the client disconnects before.
func sleepServiceTime(ctx context.Context, behaviour Behaviour) bool {
	serviceTime := behaviour.ServiceTime
	if behaviour.Slowness > 0 {
		serviceTime = time.Duration(float64(serviceTime) * behaviour.Slowness)
	}

	return task.Sleep(ctx, serviceTime)
}

// nextFault counts a request and returns the fault to inject into it.
func (s *Server) nextFault(behaviour Behaviour) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.requestCount++

	if behaviour.FaultEvery > 0 && s.requestCount%behaviour.FaultEvery == 0 {
		return behaviour.Fault
	}

	return None
}

// refuse responds to a request that must not run, and reports whether it did.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, behaviour Behaviour, fault Fault) bool {
	expected := ""
	if s.dialect.ExpectedInstance != "" {
		expected = r.Header.Get(s.dialect.ExpectedInstance)
	}

	switch {
	case expected != "" && expected != s.name:
		dialect.SetField(w.Header(), s.dialect.Instance, s.name)
		s.repeatNames(w.Header(), r)
		http.Error(w, "another server", http.StatusMisdirectedRequest)
	case behaviour.Draining, fault == Shed, fault == EndlessRefusal:
		s.setNotice(w.Header())
		s.repeatNames(w.Header(), r)
		dialect.SetField(w.Header(), s.dialect.NotRun, s.notRunValue())
		http.Error(w, "refused", http.StatusServiceUnavailable)

		if fault == EndlessRefusal {
			raw.Repeat(w, "endless")
		}
	case fault == Reset:
		panic(http.ErrAbortHandler)
	case behaviour.Failing:
		s.markResponse(w.Header(), r)
		http.Error(w, "failing", http.StatusInternalServerError)
	default:
		return false
	}

	return true
}

func (s *Server) notRunValue() string {
	if s.dialect.NotRunValue != "" {
		return s.dialect.NotRunValue
	}

	return "1"
}

// markResponse sets the header fields that mark a response as one of the server to the request, and the load.
func (s *Server) markResponse(header http.Header, r *http.Request) {
	dialect.SetField(header, s.dialect.Seal, "seal-of-"+s.name)
	s.repeatNames(header, r)
	s.setLoad(header)
	s.setNotice(header)
}

// repeatNames sets the header fields by which a response names its request.
func (s *Server) repeatNames(header http.Header, r *http.Request) {
	dialect.SetField(header, s.dialect.Attempt, s.dialect.AttemptOf(r.Header))
	dialect.SetField(header, s.dialect.CallToken, s.dialect.CallTokenOf(r.Header))
}

// record counts the execution of a request by its idempotency key and by its attempt.
func (s *Server) record(r *http.Request, body string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.starts = append(s.starts, time.Now())

	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.executionsByKey[key]++
	}

	if id := s.dialect.AttemptOf(r.Header); id != "" {
		run := s.executionsByAttempt[id]
		run.Count++
		run.Body = body

		if s.dialect.Origin != "" {
			run.Origin = r.Header.Get(s.dialect.Origin)
			run.Tenant = r.Header.Get(s.dialect.Tenant)
			run.Credential = s.dialect.CredentialOf(r.Header)
		}

		if s.dialect.Timeout != "" {
			run.Timeout = r.Header.Get(s.dialect.Timeout)
		}

		s.executionsByAttempt[id] = run
	}
}

func (s *Server) stock(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "stock of %s at %s\n", r.PathValue("id"), s.name)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "order %s taken by %s\n", r.Header.Get("Idempotency-Key"), s.name)
}

// label writes a download. Its bytes depend on the offset only, so every server has the same representation and a
// download can continue at another one.
func (s *Server) label(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.PathValue("size"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "size is not a number", http.StatusBadRequest)

		return
	}

	w.Header().Set("ETag", strconv.Quote("label-"+strconv.FormatInt(size, 10)))

	writer := w
	if limit := s.Behaviour().TruncateAfter; limit > 0 {
		writer = &truncatingWriter{ResponseWriter: w, remaining: limit}
	}

	http.ServeContent(writer, r, "label.bin", time.Time{}, &Pattern{size: size})
}

// truncatingWriter aborts the connection after the remaining number of bytes.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int64
}

func (t *truncatingWriter) Write(data []byte) (int, error) {
	if int64(len(data)) > t.remaining {
		_, _ = t.ResponseWriter.Write(data[:t.remaining])
		_ = http.NewResponseController(t.ResponseWriter).Flush()

		panic(http.ErrAbortHandler)
	}

	t.remaining -= int64(len(data))
	n, err := t.ResponseWriter.Write(data)

	return n, errors.Wrap(err, "write label")
}
