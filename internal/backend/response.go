package backend

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
)

// Response is a response whose header was read and whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Body must be read to its end or closed. An error other than io.EOF means that it is incomplete.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or http1.UnknownLength.
	Length int64
	// Load is the load that the server reported, if HasLoad is set.
	Load    dialect.Load
	HasLoad bool
	// Limit is what the response says of the number of requests that the server allows.
	Limit Statement
	// ColdFor is the remaining time for which the server is cold, if HasCold is set.
	ColdFor time.Duration
	HasCold bool
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Draining is set if the server states that it is about to leave the fleet.
	Draining bool
	// Instance is the ID of the server that answered; empty if it states none.
	Instance ID
}

func (s *Server) toResponse(response *http.Response, call Call, body io.ReadCloser) *Response {
	s.updateIdleTime(response.Header)

	converted := &Response{
		Status: response.StatusCode, Header: httpheader.Forwardable(response.Header), Body: body,
		Length: response.ContentLength, NotRun: s.isNotRun(response), Draining: s.dialect.IsDraining(response.Header),
		Instance: ID(s.dialect.InstanceOf(response.Header)),
	}
	converted.Load, converted.HasLoad = s.dialect.ParseLoad(response.Header)
	converted.Limit = s.limitOf(response)
	converted.ColdFor, converted.HasCold = s.dialect.ParseCold(response.Header)

	if http1.Bodiless(call.Request.Method, response.StatusCode) {
		// A stated length is that of the response to another request.
		converted.Length = 0
	}

	return converted
}

// limitOf returns what a response says of the limit. A malformed field says nothing, and neither does a response without
// the field that lacks the seal of the server.
func (s *Server) limitOf(response *http.Response) Statement {
	perSecond, stated, err := s.dialect.ParseLimit(response.Header)

	switch {
	case err != nil:
		return Statement{}
	case stated:
		return Statement{Made: true, Limit: Limit{PerSecond: perSecond, Set: true}}
	default:
		return Statement{Made: s.dialect.Sealed(response.Header)}
	}
}

// isNotRun reports whether the server states that it did not run the request. A server that is not the expected one
// states this by status 421 Misdirected Request.
func (s *Server) isNotRun(response *http.Response) bool {
	return s.dialect.IsNotRun(response.Header) ||
		s.dialect.ExpectedInstance != "" && response.StatusCode == http.StatusMisdirectedRequest
}

// updateIdleTime sets the time for which connections are reused if the header has a Keep-Alive timeout.
func (s *Server) updateIdleTime(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			s.idleTime.Store(int64(idleTimeFraction * float64(seconds) * float64(time.Second)))
		}
	}
}
