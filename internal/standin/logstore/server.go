package logstore

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/httpserve"
)

// maxRecord is the largest record in bytes.
const maxRecord = 4 << 20

// shutdownTime is how long Serve waits for requests in progress.
const shutdownTime = time.Second

type (
	wireRecord struct {
		Offset uint64 `json:"offset"`
		Data   []byte `json:"data"`
	}
	wirePage struct {
		First   uint64       `json:"first"`
		Next    uint64       `json:"next"`
		Records []wireRecord `json:"records"`
	}
	wireOffset struct {
		Offset uint64 `json:"offset"`
	}
)

// Handler returns the HTTP interface:
//
//	POST /streams/{stream}               append the body; answers {"offset": n}
//	GET  /streams/{stream}?from=&limit=  read; answers {"first":, "next":, "records": [...]}
//	GET, PUT /control                    faults and retention in effect
//	POST /control/expire?stream=&before= drop old records
//	POST /control/truncate?stream=&from= drop the latest records
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /streams/{stream}", s.withFaults(s.serveAppend))
	mux.Handle("GET /streams/{stream}", s.withFaults(s.serveRead))
	mux.HandleFunc("GET /control", s.serveControl)
	mux.HandleFunc("PUT /control", s.serveSetControl)
	mux.HandleFunc("POST /control/expire", s.serveCut("before", s.Expire))
	mux.HandleFunc("POST /control/truncate", s.serveCut("from", s.Truncate))

	return mux
}

// Serve answers requests on a listener until the context ends.
func (s *Store) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:     s.Handler(),
		BaseContext: func(net.Listener) context.Context { return ctx },
		// A client that sends its header slowly would hold the connection for ever.
		ReadHeaderTimeout: 5 * time.Second,
	}

	return errors.Wrap(httpserve.Run(ctx, server, listener, shutdownTime), "serve the log stand-in")
}

// Start serves on a loopback port until the returned function is called.
func (s *Store) Start(ctx context.Context) (url string, stop func() error, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listening for the log stand-in")
	}

	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)

	go func() { ended <- s.Serve(ctx, listener) }()

	return "http://" + listener.Addr().String(), func() error {
		cancel()

		return <-ended
	}, nil
}

func (s *Store) withFaults(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		if faults.Latency > 0 {
			select {
			case <-time.After(faults.Latency):
			case <-r.Context().Done():
				return
			}
		}

		if faults.Outage != None {
			s.refused()
		}

		switch faults.Outage {
		case Refuse:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case Reset:
			panic(http.ErrAbortHandler)
		case Hang:
			// The server notices that the client has gone away only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		default:
			next(w, r)
		}
	})
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		status := http.StatusBadRequest

		var large *http.MaxBytesError
		if errors.As(err, &large) {
			status = http.StatusRequestEntityTooLarge
		}

		http.Error(w, err.Error(), status)

		return
	}

	offset, result := s.tryAppend(r.PathValue("stream"), data)

	switch result {
	case limited:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
	case lost:
		panic(http.ErrAbortHandler)
	case appended:
		respond(w, wireOffset{Offset: offset})
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)

		return
	}

	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)

		return
	}

	page := s.tryRead(r.PathValue("stream"), from, limit)
	wire := wirePage{First: page.First, Next: page.Next, Records: make([]wireRecord, 0, len(page.Records))}

	for _, record := range page.Records {
		wire.Records = append(wire.Records, wireRecord{Offset: record.Offset, Data: record.Data})
	}

	respond(w, wire)
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has gone away.
	_ = json.NewEncoder(w).Encode(body)
}
