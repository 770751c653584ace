package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
)

// duplicateDelay is the time between a response and its duplicate.
const duplicateDelay = 5 * time.Millisecond

// respond writes the response to a request that ran, with the given fault.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, next http.HandlerFunc, fault Fault) {
	switch fault {
	case None, Shed, Reset, EndlessRefusal:
		s.markResponse(w.Header(), r)
		next(w, r)

		return
	case DropResponse:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()

		return
	case DuplicateResponse, MissingLength, ShortBody, MissingSeal, Garbage,
		EndlessLine, EndlessHeader, EndlessInterim, EndlessChunks, EndlessBody,
		ZeroStatus, HighStatus, Upgrade, InterimBody:
	}

	recorded := httptest.NewRecorder()
	if fault != MissingSeal {
		s.markResponse(recorded.Header(), r)
	}

	next(recorded, r)

	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	s.respondWithFault(connection, buffer, recorded, fault)
}

// answer makes Behaviour.Answer respond to a request.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, respond func(*net.TCPConn, http.Header)) {
	header := http.Header{}
	s.markResponse(header, r)

	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	defer func() { _ = connection.Close() }()

	if copying, ok := connection.(*copyingConn); ok {
		connection = copying.Conn
	}

	if tcp, ok := connection.(*net.TCPConn); ok {
		respond(tcp, header)
	}
}

// respondWithFault writes a faulty response to the hijacked connection, where net/http does not correct it.
func (s *Server) respondWithFault(
	connection net.Conn, buffer *bufio.ReadWriter, recorded *httptest.ResponseRecorder, fault Fault,
) {
	defer func() { _ = connection.Close() }()

	body := recorded.Body.Bytes()
	length := strconv.Itoa(len(body))

	switch fault {
	case ZeroStatus, HighStatus, Upgrade, InterimBody:
		_, _ = buffer.WriteString(invalidHeads[fault])
		writeRaw(buffer, recorded, length, body)
	case EndlessLine, EndlessHeader, EndlessInterim, EndlessChunks, EndlessBody:
		writeEndless(buffer.Writer, recorded.Header(), fault)
	case Garbage:
		_, _ = buffer.WriteString("\x00\x01 this is no response\r\n")
	case MissingLength:
		writeRaw(buffer, recorded, "", body)
	case ShortBody:
		writeRaw(buffer, recorded, length, body[:len(body)/2])
	case DuplicateResponse:
		writeRaw(buffer, recorded, length, body)

		_ = buffer.Flush()

		// The duplicate arrives where the daemon expects the response to its next request.
		time.Sleep(duplicateDelay)
		writeRaw(buffer, recorded, length, body)

		_ = buffer.Flush()

		s.serveNextRequest(connection, buffer)

		return
	default:
		writeRaw(buffer, recorded, length, body)
	}

	_ = buffer.Flush()
}

// invalidHeads holds the heads of invalid responses, which a response follows as their body.
var invalidHeads = map[Fault]string{
	ZeroStatus:  "HTTP/1.1 000 None\r\n\r\n",
	HighStatus:  "HTTP/1.1 999 High\r\n\r\n",
	Upgrade:     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	InterimBody: "HTTP/1.1 102 Processing\r\nContent-Length: 200\r\n\r\n",
}

// writeEndless writes a response without end, until the peer closes the connection.
func writeEndless(buffer *bufio.Writer, header http.Header, fault Fault) {
	const ok = "HTTP/1.1 200 OK\r\n"

	repeated := "endless\r\n"

	switch fault {
	case EndlessLine:
		repeated = "endless"
	case EndlessHeader:
		_, _ = buffer.WriteString(ok)
		repeated = "X-Endless: 1\r\n"
	case EndlessInterim:
		repeated = "HTTP/1.1 100 Continue\r\n\r\n"
	case EndlessChunks:
		_, _ = buffer.WriteString(ok + "Transfer-Encoding: chunked\r\n")
		_ = header.Write(buffer)
		_, _ = buffer.WriteString("\r\n")
		repeated = "7\r\nendless\r\n"
	default:
		_, _ = buffer.WriteString(ok)
		_ = header.Write(buffer)
		_, _ = buffer.WriteString("\r\n")
	}

	raw.Repeat(buffer, repeated)
}

// writeRaw writes a response with the given Content-Length; without the field if length is empty.
func writeRaw(buffer *bufio.ReadWriter, recorded *httptest.ResponseRecorder, length string, body []byte) {
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\n", recorded.Code, http.StatusText(recorded.Code))
	_ = recorded.Header().Write(buffer)

	if length != "" {
		_, _ = fmt.Fprintf(buffer, "Content-Length: %s\r\n", length)
	}

	_, _ = buffer.WriteString("\r\n")
	_, _ = buffer.Write(body)
}

// serveNextRequest answers one more request on a hijacked connection.
func (s *Server) serveNextRequest(connection net.Conn, buffer *bufio.ReadWriter) {
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))

	r, err := http.ReadRequest(buffer.Reader)
	if err != nil {
		return
	}

	recorded := httptest.NewRecorder()
	s.handler().ServeHTTP(recorded, r)
	writeRaw(buffer, recorded, strconv.Itoa(recorded.Body.Len()), recorded.Body.Bytes())

	_ = buffer.Flush()
}
