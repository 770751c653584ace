package backend

import (
	"net/http"

	"github.com/tarragonmill/tarragonmill/internal/http1"
)

// A server may write a copy of any earlier response of a connection once more, at any later time. A response therefore
// proves that it answers a call by one of these facts only:
//
//   - It has the name of the call, and the connection has carried no earlier call of that name. The name is the attempt
//     identifier, or the call token in a dialect without such identifiers.
//   - It has no name and is the first response of its connection.
//   - It says that the server at the other end is not the one that the call expects. This holds for all calls on the
//     connection, whichever of them it answers.
//
// Any other response is skipped. If none follows that answers the call, the verdict is that the call may have run. The
// filter of connections and mayReuse see to it that a call is sent where its response can prove that.

// nameOf returns the name that the response to a call has to have; empty if it can have none, as for a probe.
func (s *Server) nameOf(call Call) string {
	if s.dialect.Attempt != "" {
		return call.Attempt
	}

	return s.dialect.CallTokenOf(call.Request.Header)
}

// nameIn returns the name in a response; empty if it has none.
func (s *Server) nameIn(response *http.Response) string {
	if s.dialect.Attempt != "" {
		return s.dialect.AttemptOf(response.Header)
	}

	return s.dialect.CallTokenOf(response.Header)
}

// mayReuse reports whether a call may use a connection that has carried others. A server need not repeat call tokens. If
// it omits one, each further call gets a new connection, where its response is the first.
func (s *Server) mayReuse(call Call) bool {
	return call.AnyConnection || s.nameOf(call) != "" && !s.omitsNames.Load()
}

// filter accepts the connections that have not carried a call of the same name.
func (s *Server) filter(call Call) http1.Filter {
	name := s.nameOf(call)

	return func(c *http1.ClientConn) bool { return name == "" || !c.HasCarried(name) }
}

// answers reports whether a response answers a call; first is set for the first response of its connection. A response
// to a call with AnyConnection counts as its answer without a proof.
func (s *Server) answers(response *http.Response, call Call, first bool) bool {
	name, expected := s.nameIn(response), s.nameOf(call)

	switch {
	case name != "":
		return name == expected
	case first:
		return expected == "" || s.mayOmitName(response)
	case call.AnyConnection:
		return true
	default:
		return s.isFromOther(response, call)
	}
}

// mayOmitName reports whether a response to a call with a name may have none. In a dialect with attempt identifiers, only
// an error response without a seal may, by which a server refuses a request.
func (s *Server) mayOmitName(response *http.Response) bool {
	return s.dialect.Attempt == "" ||
		!isSuccess(response.StatusCode) && (s.dialect.Seal == "" || !s.dialect.Sealed(response.Header))
}

// isFromOther reports whether a response comes from another server than the one that the call is meant for.
func (s *Server) isFromOther(response *http.Response, call Call) bool {
	instance := s.dialect.InstanceOf(response.Header)

	return s.dialect.ExpectedInstance != "" && response.StatusCode == http.StatusMisdirectedRequest && instance != "" &&
		instance != call.Request.Header.Get(s.dialect.ExpectedInstance)
}

// staysUsable reports whether the connection of a response may carry further calls. Without a name in the response, it
// may only after a probe that succeeded.
func (s *Server) staysUsable(response *http.Response, call Call) bool {
	if s.nameIn(response) != "" {
		return true
	}

	if s.nameOf(call) == "" {
		return isSuccess(response.StatusCode)
	}

	s.noteOmittedName()

	return false
}

// noteOmittedName records that the server has omitted a call token.
func (s *Server) noteOmittedName() {
	if s.dialect.Attempt == "" {
		s.omitsNames.Store(true)
	}
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
